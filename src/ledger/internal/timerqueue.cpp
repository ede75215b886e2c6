#include "ledger/timerqueue.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace persimmon::ledger {
namespace {

constexpr std::chrono::milliseconds kMaxSleep{ 1000 };

} // namespace

struct timer_queue::implementation
{
  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<time_point, callback> timers;
  bool stopping = false;
  std::thread thread;

  void Run()
  {
    std::unique_lock lock(mutex);
    while (!stopping) {
      const time_point now = boot_clock().Now();
      const auto first = timers.begin();
      if (first == timers.end() || first->first > now) {
        SleepUntilNextTimer(lock, now);
        continue;
      }
      const callback call = std::move(first->second);
      timers.erase(first);
      lock.unlock();
      call();
      lock.lock();
    }
  }

  void SleepUntilNextTimer(std::unique_lock<std::mutex>& aLock, time_point aNow)
  {
    auto waitTime = kMaxSleep;
    if (!timers.empty()) {
      const duration left = timers.begin()->first - aNow;
      waitTime = std::min(waitTime, std::chrono::milliseconds(left.ms));
    }
    changed.wait_for(aLock, waitTime);
  }
};

timer_queue::timer_queue()
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->thread = std::thread([state = mImplementation.get()] { state->Run(); });
}

timer_queue::~timer_queue()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->changed.notify_all();
  mImplementation->thread.join();
}

void
timer_queue::Add(time_point aAt, callback aCallback)
{
  const std::lock_guard lock(mImplementation->mutex);
  mImplementation->timers.emplace(aAt, std::move(aCallback));
  mImplementation->changed.notify_all();
}

} // namespace persimmon::ledger
