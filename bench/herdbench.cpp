#include "bench/herdbench.h"

#include "base/random.h"
#include "peers/retrybackoff.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <queue>
#include <vector>

namespace persimmon::bench {
namespace {

// One process's calls to the platform, as the router's watcher makes them.
constexpr std::int64_t kWatchMs = 3000;
constexpr std::int64_t kInstancesMs = 1000;
constexpr std::int64_t kCallMs = 5;
constexpr int kListedKinds = 2;
constexpr std::int64_t kFixedPauseMs = 300;
constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kSpanMs = 120 * kSecondMs;

struct call_event
{
  std::int64_t at = 0;
  std::size_t process = 0;
  bool instances = false;

  bool operator<(const call_event& aOther) const { return at > aOther.at; }
};

struct herd_process
{
  peers::retry_backoff pause;
  bool listed = false;
};

struct herd_result
{
  std::int64_t mostPer100Ms = 0;
  std::int64_t mostPerSecond = 0;
  std::int64_t mostInOutage = 0;
  double steady = 0;
  std::int64_t backMs = 0;
};

/// Runs processes through an outage; calls in the outage fail at once and count as well.
class herd
{
public:
  herd(std::size_t aProcesses, std::int64_t aOutageMs, bool aJitter)
    : mProcesses(aProcesses)
    , mOutageEnd(kStart + aOutageMs)
    , mJitter(aJitter)
  {
  }

  herd_result Run()
  {
    for (std::size_t i = 0; i < mProcesses.size(); ++i) {
      Schedule(0, i, false);
      Schedule(static_cast<std::int64_t>(mRandom.Below(kInstancesMs)), i, true);
    }
    while (mEvents.top().at < kSpanMs) {
      const call_event next = mEvents.top();
      mEvents.pop();
      next.instances ? CallInstances(next) : CallObjects(next);
    }
    return Summarize();
  }

private:
  static constexpr std::int64_t kStart = 30 * kSecondMs;

  void Schedule(std::int64_t aAt, std::size_t aProcess, bool aInstances)
  {
    mEvents.push({ aAt, aProcess, aInstances });
  }

  bool IsDown(std::int64_t aAt) const { return aAt >= kStart && aAt < mOutageEnd; }

  void CallInstances(const call_event& aEvent)
  {
    ++mCalls[aEvent.at / 100];
    Schedule(aEvent.at + kInstancesMs, aEvent.process, true);
  }

  void CallObjects(const call_event& aEvent)
  {
    herd_process& process = mProcesses[aEvent.process];
    ++mCalls[aEvent.at / 100];
    if (IsDown(aEvent.at)) {
      process.listed = false;
      const std::int64_t pause = mJitter ? process.pause.OnFailure(mRandom).ms : kFixedPauseMs;
      Schedule(aEvent.at + pause, aEvent.process, false);
      return;
    }
    process.pause.OnSuccess();
    if (!process.listed) {
      process.listed = true;
      mCalls[(aEvent.at + kCallMs) / 100] += kListedKinds - 1;
      mBack = std::max(mBack, aEvent.at);
      Schedule(aEvent.at + kListedKinds * kCallMs, aEvent.process, false);
      return;
    }
    // A watch under way ends when the platform goes down.
    const std::int64_t end = aEvent.at + kWatchMs;
    const bool cut = aEvent.at < kStart && end >= kStart;
    Schedule(cut ? kStart : end, aEvent.process, false);
  }

  herd_result Summarize() const
  {
    herd_result result;
    std::map<std::int64_t, std::int64_t> seconds;
    for (const auto& [slot, calls] : mCalls) {
      if (slot >= kStart / 100) {
        result.mostPer100Ms = std::max(result.mostPer100Ms, calls);
      }
      seconds[slot / 10] += calls;
    }
    for (const auto& [second, calls] : seconds) {
      const std::int64_t at = second * kSecondMs;
      if (at >= kStart && at < mOutageEnd) {
        result.mostInOutage = std::max(result.mostInOutage, calls);
      } else if (at >= mOutageEnd) {
        result.mostPerSecond = std::max(result.mostPerSecond, calls);
      } else if (at >= kStart / 2) {
        result.steady += static_cast<double>(calls) * 2 * kSecondMs / kStart;
      }
    }
    result.backMs = mBack - mOutageEnd;
    return result;
  }

  std::vector<herd_process> mProcesses;
  std::int64_t mOutageEnd;
  bool mJitter;
  random_source mRandom{ 1 };
  std::priority_queue<call_event> mEvents;
  std::map<std::int64_t, std::int64_t> mCalls;
  std::int64_t mBack = 0;
};

} // namespace

void
PrintHerd()
{
  constexpr std::int64_t kOutageMs = 60 * kSecondMs;
  fmt::print(
    "\n### Calls to the platform through an outage of 60 s\n\nReads of the routers' watchers: "
    "list, watch, instance list. Limit: 2,000 a second.\n\n| processes | pause after a failure "
    "| before, calls/s | in the outage, most/s | after it, most/s | most in 100 ms | last one "
    "back after ms |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t processes : { 9U, 110U, 400U }) {
    for (const bool jitter : { false, true }) {
      const herd_result result = herd(processes, kOutageMs, jitter).Run();
      fmt::print("| {} | {} | {:.0f} | {} | {} | {} | {} |\n",
                 processes,
                 jitter ? "doubled, spread" : "fixed 300 ms",
                 result.steady,
                 result.mostInOutage,
                 result.mostPerSecond,
                 result.mostPer100Ms,
                 result.backMs);
    }
  }
}

} // namespace persimmon::bench
