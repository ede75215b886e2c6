#include "standins/common/timerloop.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace persimmon::standins {

using moment = std::chrono::steady_clock::time_point;

struct timer_loop::implementation
{
  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<moment, std::function<void()>> due;
  bool stopping = false;
  std::thread thread;

  void Add(moment aWhen, std::function<void()> aFunction)
  {
    {
      const std::lock_guard lock(mutex);
      due.emplace(aWhen, std::move(aFunction));
    }
    changed.notify_one();
  }

  void AddPeriodic(moment aWhen, duration aPeriod, const std::function<void()>& aFunction)
  {
    Add(aWhen, [this, aWhen, aPeriod, aFunction] {
      aFunction();
      const moment next = aWhen + std::chrono::milliseconds(aPeriod.ms);
      AddPeriodic(std::max(next, std::chrono::steady_clock::now()), aPeriod, aFunction);
    });
  }

  /// Returns the next function when its time has come; an empty one when the loop stops.
  std::function<void()> Next()
  {
    std::unique_lock lock(mutex);
    while (!stopping) {
      if (due.empty()) {
        changed.wait(lock);
      } else if (due.begin()->first > std::chrono::steady_clock::now()) {
        const moment until = due.begin()->first;
        changed.wait_until(lock, until);
      } else {
        std::function<void()> function = std::move(due.begin()->second);
        due.erase(due.begin());
        return function;
      }
    }
    return {};
  }

  void Run()
  {
    while (const std::function<void()> function = Next()) {
      function();
    }
  }
};

timer_loop::timer_loop()
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->thread = std::thread([this] { mImplementation->Run(); });
}

timer_loop::~timer_loop()
{
  Stop();
}

void
timer_loop::After(duration aSpan, std::function<void()> aFunction)
{
  mImplementation->Add(std::chrono::steady_clock::now() + std::chrono::milliseconds(aSpan.ms),
                       std::move(aFunction));
}

void
timer_loop::Every(duration aPeriod, const std::function<void()>& aFunction)
{
  mImplementation->AddPeriodic(std::chrono::steady_clock::now(), aPeriod, aFunction);
}

void
timer_loop::Stop()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->changed.notify_one();
  if (mImplementation->thread.joinable()) {
    mImplementation->thread.join();
  }
}

} // namespace persimmon::standins
