#pragma once

#include "base/hash.h"
#include "ledger/ledgershard.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace persimmon::bench {

/// Who writes a shard object.
enum class commit_path
{
  /// Every router writes for its own calls.
  direct,
  /// Calls are forwarded over the mesh to the router that owns the shard.
  forwarded
};

struct ledger_scenario
{
  commit_path path = commit_path::direct;
  std::uint32_t routers = 9;
  std::uint32_t shards = 8;
  duration slice = ledger::kSliceDuration;
  ledger::commit_policy rules;
  double callsPerSecond = 200;
  double storeRoundTripMs = 2;
  double meshOneWayMs = 0.5;
  double meanCallMs = 500;
  double seconds = 30;
  std::uint64_t seed = 1;
};

struct ledger_figures
{
  std::uint64_t calls = 0;
  std::uint64_t granted = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t reads = 0;
  std::uint64_t bytes = 0;
  std::size_t largest = 0;
  double p50Ms = 0;
  double p99Ms = 0;
};

/// Drives ledger_shard cores in simulated time: calls come at random (Poisson), the store answers
/// after its round trip and takes effect half-way.
class ledger_simulation
{
public:
  explicit ledger_simulation(ledger_scenario aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.seed)
  {
  }

  ledger_figures Run()
  {
    const double end = mScenario.seconds * kMsPerSecond;
    At(0, [this] { Arrive(); });
    while (!mEvents.empty() && mEvents.top().at < end) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.at;
      next.action();
    }
    std::sort(mLatencies.begin(), mLatencies.end());
    mFigures.p50Ms = Quantile(0.5);
    mFigures.p99Ms = Quantile(0.99);
    return mFigures;
  }

private:
  static constexpr double kMsPerSecond = 1000;
  static constexpr duration kPatience = 10_s;

  struct event
  {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& aOther) const
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };

  struct object
  {
    std::uint64_t version = 0;
    std::string value;
  };

  /// A shard core at the router that runs it.
  struct place
  {
    std::uint32_t router = 0;
    ledger::shard_id shard;
    auto operator<=>(const place&) const = default;
  };

  struct call
  {
    std::uint32_t origin = 0;
    double began = 0;
    place home;
    ledger::record_id record;
  };

  void At(double aTime, std::function<void()> aAction)
  {
    mEvents.push({ aTime, ++mOrder, std::move(aAction) });
  }

  double Exponential(double aMean) { return -aMean * std::log(1 - mRandom.NextDouble()); }

  void Arrive()
  {
    At(mNow + Exponential(kMsPerSecond / mScenario.callsPerSecond), [this] { Arrive(); });
    ++mFigures.calls;
    const auto origin = static_cast<std::uint32_t>(mRandom.Below(mScenario.routers));
    const ledger::attempt_ref attempt{ { { fmt::format("router-{}", origin) }, origin + 1 },
                                       mFigures.calls };
    call entry{ origin, mNow, {}, { mRandom.NextHex() + mRandom.NextHex() } };
    entry.home = HomeOf(origin);
    mCalls[attempt] = entry;
    const ledger::begin_event begin{
      attempt, entry.record, mRandom.NextHex() + mRandom.NextHex(), {}
    };
    At(mNow + MeshDelay(origin, entry.home.router), [this, begin, home = entry.home] {
      ledger::begin_event event = begin;
      event.deadline = CoreNow() + kPatience;
      Feed(home, event);
    });
  }

  place HomeOf(std::uint32_t aOrigin)
  {
    const auto slice = static_cast<std::int64_t>(mNow) / mScenario.slice.ms;
    const ledger::shard_id shard{ slice,
                                  static_cast<std::uint32_t>(mRandom.Below(mScenario.shards)) };
    return { mScenario.path == commit_path::direct ? aOrigin : OwnerOf(shard), shard };
  }

  std::uint32_t OwnerOf(const ledger::shard_id& aShard) const
  {
    const std::string name = ledger::ShardObjectKey(aShard).name;
    std::uint32_t best = 0;
    std::uint64_t weight = 0;
    for (std::uint32_t router = 0; router < mScenario.routers; ++router) {
      const std::uint64_t own = RendezvousWeight(name, std::to_string(router));
      if (own >= weight) {
        weight = own;
        best = router;
      }
    }
    return best;
  }

  double MeshDelay(std::uint32_t aFrom, std::uint32_t aTo) const
  {
    return aFrom == aTo ? 0 : mScenario.meshOneWayMs;
  }

  /// The cores see whole milliseconds.
  time_point CoreNow() const { return { static_cast<std::int64_t>(mNow) }; }

  ledger::ledger_shard& CoreAt(const place& aPlace)
  {
    const auto found = mCores.find(aPlace);
    if (found != mCores.end()) {
      return found->second;
    }
    const ledger::ledger_shard core(mScenario.rules, random_source(mRandom.Next()));
    return mCores.emplace(aPlace, core).first->second;
  }

  void Feed(const place& aPlace, const ledger::shard_event& aEvent)
  {
    for (const ledger::shard_action& action : CoreAt(aPlace).Handle(aEvent, CoreNow())) {
      if (std::holds_alternative<ledger::read_action>(action)) {
        StartRead(aPlace);
      } else if (const auto* write = std::get_if<ledger::write_action>(&action)) {
        StartWrite(aPlace, *write);
      } else if (const auto* verdict = std::get_if<ledger::verdict_action>(&action)) {
        Answer(verdict->attempt, verdict->result);
      } else if (const auto* wake = std::get_if<ledger::wake_action>(&action)) {
        At(static_cast<double>(wake->at.ms),
           [this, aPlace] { Feed(aPlace, ledger::tick_event{}); });
      }
    }
  }

  void StartRead(const place& aPlace)
  {
    ++mFigures.reads;
    At(mNow + mScenario.storeRoundTripMs / 2, [this, aPlace] {
      const object& stored = mObjects[aPlace.shard];
      ledger::read_event reply;
      if (stored.version > 0) {
        reply.object = platform::stored_object{ {}, { stored.version }, stored.value };
      }
      At(mNow + mScenario.storeRoundTripMs / 2, [this, aPlace, reply] { Feed(aPlace, reply); });
    });
  }

  void StartWrite(const place& aPlace, const ledger::write_action& aWrite)
  {
    ++mFigures.writes;
    mFigures.bytes += aWrite.value.size();
    mFigures.largest = std::max(mFigures.largest, aWrite.value.size());
    At(mNow + mScenario.storeRoundTripMs / 2, [this, aPlace, aWrite] {
      const ledger::write_event reply = TakeEffect(mObjects[aPlace.shard], aWrite);
      At(mNow + mScenario.storeRoundTripMs / 2, [this, aPlace, reply] { Feed(aPlace, reply); });
    });
  }

  ledger::write_event TakeEffect(object& aObject, const ledger::write_action& aWrite)
  {
    const std::uint64_t expected = aWrite.condition.expected ? aWrite.condition.expected->value : 0;
    if (aObject.version != expected) {
      ++mFigures.conflicts;
      return { {}, platform::store_error::conflict };
    }
    aObject = { ++mVersion, aWrite.value };
    return { revision{ mVersion }, platform::store_error::none };
  }

  void Answer(const ledger::attempt_ref& aAttempt, const ledger::begin_result& aResult)
  {
    const auto found = mCalls.find(aAttempt);
    const call entry = found->second;
    mCalls.erase(found);
    if (aResult.verdict != ledger::begin_verdict::granted) {
      return;
    }
    ++mFigures.granted;
    const double back = MeshDelay(entry.home.router, entry.origin);
    mLatencies.push_back(mNow + back - entry.began);
    const ledger::close_event close{
      aAttempt, entry.record, ledger::record_state::done, ledger::stored_response{ 200, "", "{}" }
    };
    At(mNow + 2 * back + Exponential(mScenario.meanCallMs),
       [this, home = entry.home, close] { Feed(home, close); });
  }

  double Quantile(double aShare) const
  {
    if (mLatencies.empty()) {
      return 0;
    }
    const auto rank = static_cast<std::size_t>(aShare * static_cast<double>(mLatencies.size()));
    return mLatencies[std::min(rank, mLatencies.size() - 1)];
  }

  ledger_scenario mScenario;
  random_source mRandom;
  ledger_figures mFigures;
  double mNow = 0;
  std::uint64_t mOrder = 0;
  std::uint64_t mVersion = 0;
  std::priority_queue<event> mEvents;
  std::map<place, ledger::ledger_shard> mCores;
  std::map<ledger::shard_id, object> mObjects;
  std::map<ledger::attempt_ref, call> mCalls;
  std::vector<double> mLatencies;
};

} // namespace persimmon::bench
