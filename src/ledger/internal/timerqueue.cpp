#include "ledger/timerqueue.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace persimmon::ledger {
namespace {

constexpr std::chrono::milliseconds kLongestSleep{ 1000 };

} // namespace

struct timer_queue::implementation
{
  callback call;
  std::mutex mutex;
  std::condition_variable changed;
  std::multimap<time_point, shard_id> timers;
  bool stopping = false;
  std::thread thread;

  void Run()
  {
    std::unique_lock lock(mutex);
    while (!stopping) {
      const time_point now = boot_clock().Now();
      const auto first = timers.begin();
      if (first == timers.end() || first->first > now) {
        Sleep(lock, now);
        continue;
      }
      const shard_id shard = first->second;
      timers.erase(first);
      lock.unlock();
      call(shard);
      lock.lock();
    }
  }

  void Sleep(std::unique_lock<std::mutex>& aLock, time_point aNow)
  {
    auto span = kLongestSleep;
    if (!timers.empty()) {
      const duration left = timers.begin()->first - aNow;
      span = std::min(span, std::chrono::milliseconds(left.ms));
    }
    changed.wait_for(aLock, span);
  }
};

timer_queue::timer_queue(callback aCallback)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->call = std::move(aCallback);
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
timer_queue::Add(time_point aAt, const shard_id& aShard)
{
  const std::lock_guard lock(mImplementation->mutex);
  mImplementation->timers.emplace(aAt, aShard);
  mImplementation->changed.notify_all();
}

} // namespace persimmon::ledger
