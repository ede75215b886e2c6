#pragma once

#include "ledger/ledgershard.h"
#include "platform/tests/mocks/memoryobjectstore.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmon::ledger {

/// Simulates several routers that share one shard object, each with at most one store call in
/// flight. A test controls when a call is applied at the store, whether its reply arrives, and when
/// time advances.
class shard_simulation
{
public:
  /// What the simulated caller of an attempt did and received.
  struct attempt_state
  {
    std::size_t router = 0;
    record_id record;
    std::optional<begin_result> result;
    bool dispatched = false;
    bool closed = false;
  };

  explicit shard_simulation(std::size_t aRouters,
                            std::uint64_t aSeed = 1,
                            commit_policy aPolicy = {})
    : mSeed(aSeed)
    , mPolicy(aPolicy)
  {
    for (std::size_t i = 0; i < aRouters; ++i) {
      mRouters.push_back(StartRouter(i));
    }
  }

  bool storeDown = false;
  time_point now{ 1000 };
  std::map<attempt_ref, attempt_state> attempts;
  std::map<record_id, int> executions;

  attempt_ref Begin(std::size_t aRouter,
                    const std::string& aRecord,
                    const std::string& aDigest = "d",
                    duration aTimeout = 1_s)
  {
    attempt_ref attempt{ mRouters[aRouter].writer, ++mAttempts };
    attempts[attempt] = { aRouter, { aRecord }, {} };
    ProcessEvent(aRouter, begin_event{ attempt, { aRecord }, aDigest, now + aTimeout });
    return attempt;
  }

  /// Sends a granted call to the upstream, which executes it.
  void Dispatch(const attempt_ref& aAttempt)
  {
    attempts[aAttempt].dispatched = true;
    ++executions[attempts[aAttempt].record];
  }

  void Close(const attempt_ref& aAttempt,
             record_state aOutcome,
             std::optional<stored_response> aResponse = {})
  {
    attempt_state& entry = attempts[aAttempt];
    entry.closed = true;
    ProcessEvent(entry.router,
                 close_event{ aAttempt, entry.record, aOutcome, std::move(aResponse) });
  }

  void Flush(std::size_t aRouter) { ProcessEvent(aRouter, flush_event{}); }

  [[nodiscard]] bool HasCall(std::size_t aRouter) const
  {
    return mRouters[aRouter].call.has_value();
  }
  [[nodiscard]] bool IsCallApplied(std::size_t aRouter) const
  {
    return HasCall(aRouter) && mRouters[aRouter].call->result.has_value();
  }

  /// Applies the router's call at the store; its reply is not delivered yet.
  void ApplyCall(std::size_t aRouter)
  {
    store_call& call = *mRouters[aRouter].call;
    mStore.down = storeDown;
    call.result = Execute(call);
  }

  /// Delivers the reply of the router's applied call.
  void DeliverReply(std::size_t aRouter)
  {
    const shard_event event = *mRouters[aRouter].call->result;
    mRouters[aRouter].call.reset();
    ProcessEvent(aRouter, event);
  }

  /// Loses the reply of the router's call. A write that was not applied yet may still be, see
  /// ApplyDelayedWrite().
  void LoseReply(std::size_t aRouter)
  {
    const store_call call = *mRouters[aRouter].call;
    mRouters[aRouter].call.reset();
    if (!call.write) {
      ProcessEvent(aRouter, read_event{ {}, platform::store_error::unavailable });
      return;
    }
    if (!call.result) {
      mDelayedWrites.push_back(call);
    }
    ProcessEvent(aRouter, write_event{ {}, platform::store_error::unknown_outcome });
  }

  /// Applies the oldest delayed write at the store.
  void ApplyDelayedWrite()
  {
    if (!mDelayedWrites.empty()) {
      mStore.down = false;
      Execute(mDelayedWrites.front());
      mDelayedWrites.erase(mDelayedWrites.begin());
    }
  }

  void AdvanceTime(duration aDuration)
  {
    now = now + aDuration;
    for (std::size_t i = 0; i < mRouters.size(); ++i) {
      ProcessEvent(i, tick_event{});
    }
  }

  /// Ends the router's process and starts a new one.
  void RestartRouter(std::size_t aRouter)
  {
    const auto call = mRouters[aRouter].call;
    if (call && call->write && !call->result) {
      mDelayedWrites.push_back(*call);
    }
    mRouters[aRouter] = StartRouter(aRouter);
  }

  [[nodiscard]] bool IsWriterAlive(const attempt_ref& aAttempt) const
  {
    return mRouters[attempts.at(aAttempt).router].writer == aAttempt.writer;
  }

  /// Carries out all store calls without faults until none is in flight and no wake is due soon.
  void RunUntilIdle()
  {
    constexpr int kRounds = 2000;
    for (int round = 0; round < kRounds; ++round) {
      bool idle = true;
      for (std::size_t i = 0; i < mRouters.size(); ++i) {
        if (HasCall(i)) {
          idle = false;
          ApplyCall(i);
          DeliverReply(i);
        }
      }
      if (idle && !AdvanceToNearWake()) {
        return;
      }
    }
  }

  /// Runs until idle, with enough time for every back-off and close delay to elapse.
  void RunUntilSettled()
  {
    constexpr int kRounds = 20;
    for (int round = 0; round < kRounds; ++round) {
      RunUntilIdle();
      AdvanceTime(10_s);
    }
  }

  [[nodiscard]] begin_verdict Verdict(const attempt_ref& aAttempt) const
  {
    const auto& result = attempts.at(aAttempt).result;
    return result ? result->verdict : begin_verdict::overloaded;
  }
  [[nodiscard]] bool HasVerdict(const attempt_ref& aAttempt) const
  {
    return attempts.at(aAttempt).result.has_value();
  }

  [[nodiscard]] ledger_table Table()
  {
    const auto object = mContent.objects.find(ShardObjectKey({}));
    table_reason parseError;
    const auto table = object == mContent.objects.end()
                         ? std::optional(ledger_table{})
                         : ParseLedgerTable(object->second.value, parseError);
    return table.value();
  }
  [[nodiscard]] std::uint64_t Writes() const { return mContent.writes; }
  [[nodiscard]] std::uint64_t Reads() const { return mContent.reads; }
  [[nodiscard]] std::uint64_t Conflicts() const { return mConflicts; }
  [[nodiscard]] bool Idle(std::size_t aRouter) const { return mRouters[aRouter].shard.IsIdle(); }

  /// Replaces the value of the object by one that no router can parse.
  void MakeUnreadable() { mContent.objects[ShardObjectKey({})].value = "{}"; }

  /// Number of results that reported an executed key as not executed.
  int falseNotExecuted = 0;
  /// Number of verdicts for attempts that already had a verdict.
  int duplicateVerdicts = 0;
  /// Number of results that reported a key as executed although it was not.
  int falseExecuted = 0;

private:
  struct store_call
  {
    std::optional<write_action> write;
    std::optional<shard_event> result;
  };

  struct router
  {
    writer_identity writer;
    ledger_shard shard;
    std::optional<store_call> call;
  };

  router StartRouter(std::size_t aIndex)
  {
    const writer_identity writer{ { "r" + std::to_string(aIndex) }, ++mProcessStarts };
    return { writer, ledger_shard(mPolicy, random_source(mSeed + mProcessStarts)), {} };
  }

  shard_event Execute(const store_call& aCall)
  {
    if (!aCall.write) {
      auto object = mStore.Get(ShardObjectKey({}));
      return read_event{ object, object ? platform::store_error::none : mStore.LastFailure().code };
    }
    const auto version = mStore.Put(ShardObjectKey({}), aCall.write->value, aCall.write->condition);
    mConflicts += mStore.LastFailure().code == platform::store_error::conflict ? 1 : 0;
    return write_event{ version,
                        version ? platform::store_error::none : mStore.LastFailure().code };
  }

  /// Advances time to the next wake if it is at most a write interval away; returns false if not.
  bool AdvanceToNearWake()
  {
    const time_point latest = now + kGroupCommitPolicy.smallBatchInterval;
    mWakeTimes.erase(mWakeTimes.begin(), mWakeTimes.upper_bound(now));
    if (mWakeTimes.empty() || *mWakeTimes.begin() > latest) {
      return false;
    }
    AdvanceTime(*mWakeTimes.begin() - now);
    return true;
  }

  void ProcessEvent(std::size_t aRouter, const shard_event& aEvent)
  {
    for (const shard_action& action : mRouters[aRouter].shard.Handle(aEvent, now)) {
      if (std::holds_alternative<read_action>(action)) {
        mRouters[aRouter].call.emplace();
      } else if (const auto* write = std::get_if<write_action>(&action)) {
        mRouters[aRouter].call.emplace();
        mRouters[aRouter].call->write = *write;
      } else if (const auto* verdict = std::get_if<verdict_action>(&action)) {
        RecordVerdict(attempts[verdict->attempt], verdict->result);
      } else if (const auto* wake = std::get_if<wake_action>(&action)) {
        mWakeTimes.insert(wake->at);
      }
    }
  }

  void RecordVerdict(attempt_state& aState, const begin_result& aResult)
  {
    const bool executed = executions[aState.record] > 0;
    duplicateVerdicts += aState.result ? 1 : 0;
    falseNotExecuted += executed && aResult.execution == execution_status::not_executed ? 1 : 0;
    falseExecuted += !executed && aResult.execution == execution_status::executed ? 1 : 0;
    aState.result = aResult;
  }

  std::uint64_t mSeed;
  commit_policy mPolicy;
  std::uint64_t mProcessStarts = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mConflicts = 0;
  platform::memory_object_store::content mContent;
  platform::memory_object_store mStore{ mContent };
  std::vector<router> mRouters;
  std::vector<store_call> mDelayedWrites;
  std::set<time_point> mWakeTimes;
};

} // namespace persimmon::ledger
