#pragma once

#include "ledger/ledgershard.h"
#include "platform/tests/mocks/memoryobjectstore.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmon::ledger {

/// Several routers that share one shard object, each with at most one store call under way. A test
/// decides when a call takes effect, whether its reply arrives, and when time passes.
class ledger_world
{
public:
  struct asked
  {
    std::size_t router = 0;
    record_id record;
    std::optional<begin_result> result;
    bool dispatched = false;
    bool closed = false;
  };

  explicit ledger_world(std::size_t aRouters, std::uint64_t aSeed = 1, commit_policy aRules = {})
    : mSeed(aSeed)
    , mRules(aRules)
  {
    for (std::size_t i = 0; i < aRouters; ++i) {
      mRouters.push_back(NewLife(i));
    }
  }

  bool down = false;
  time_point now{ 1000 };
  std::map<attempt_ref, asked> attempts;
  std::map<record_id, int> runs;

  attempt_ref Begin(std::size_t aRouter,
                    const std::string& aRecord,
                    const std::string& aDigest = "d",
                    duration aTimeout = 1_s)
  {
    attempt_ref attempt{ mRouters[aRouter].writer, ++mAttempts };
    attempts[attempt] = { aRouter, { aRecord }, {} };
    Feed(aRouter, begin_event{ attempt, { aRecord }, aDigest, now + aTimeout });
    return attempt;
  }

  /// Sends a granted call to the upstream, where it runs.
  void Dispatch(const attempt_ref& aAttempt)
  {
    attempts[aAttempt].dispatched = true;
    ++runs[attempts[aAttempt].record];
  }

  void Close(const attempt_ref& aAttempt,
             record_state aOutcome,
             std::optional<stored_response> aResponse = {})
  {
    asked& entry = attempts[aAttempt];
    entry.closed = true;
    Feed(entry.router, close_event{ aAttempt, entry.record, aOutcome, std::move(aResponse) });
  }

  void Flush(std::size_t aRouter) { Feed(aRouter, flush_event{}); }

  [[nodiscard]] bool HasCall(std::size_t aRouter) const
  {
    return mRouters[aRouter].call.has_value();
  }
  [[nodiscard]] bool HasEffect(std::size_t aRouter) const
  {
    return HasCall(aRouter) && mRouters[aRouter].call->result.has_value();
  }

  /// The router's call takes effect at the store; its reply is on the way.
  void TakeEffect(std::size_t aRouter)
  {
    store_call& call = *mRouters[aRouter].call;
    mStore.down = down;
    call.result = Execute(call);
  }

  /// The reply arrives.
  void Reply(std::size_t aRouter)
  {
    const shard_event event = *mRouters[aRouter].call->result;
    mRouters[aRouter].call.reset();
    Feed(aRouter, event);
  }

  /// The router hears nothing; a write that took no effect yet may still do so, see Land().
  void LoseReply(std::size_t aRouter)
  {
    const store_call call = *mRouters[aRouter].call;
    mRouters[aRouter].call.reset();
    if (!call.write) {
      Feed(aRouter, read_event{ {}, platform::store_error::unavailable });
      return;
    }
    if (!call.result) {
      mDelayed.push_back(call);
    }
    Feed(aRouter, write_event{ {}, platform::store_error::unknown_outcome });
  }

  /// A delayed write reaches the store.
  void Land()
  {
    if (!mDelayed.empty()) {
      mStore.down = false;
      Execute(mDelayed.front());
      mDelayed.erase(mDelayed.begin());
    }
  }

  void Advance(duration aSpan)
  {
    now = now + aSpan;
    for (std::size_t i = 0; i < mRouters.size(); ++i) {
      Feed(i, tick_event{});
    }
  }

  /// The router's process ends and a new one takes its place.
  void Kill(std::size_t aRouter)
  {
    const auto call = mRouters[aRouter].call;
    if (call && call->write && !call->result) {
      mDelayed.push_back(*call);
    }
    mRouters[aRouter] = NewLife(aRouter);
  }

  [[nodiscard]] bool Lives(const attempt_ref& aAttempt) const
  {
    return mRouters[attempts.at(aAttempt).router].writer == aAttempt.writer;
  }

  /// Carries everything out without faults until nothing is under way and no wake is near.
  void Run()
  {
    constexpr int kRounds = 2000;
    for (int round = 0; round < kRounds; ++round) {
      bool quiet = true;
      for (std::size_t i = 0; i < mRouters.size(); ++i) {
        if (HasCall(i)) {
          quiet = false;
          TakeEffect(i);
          Reply(i);
        }
      }
      if (quiet && !AdvanceToNearWake()) {
        return;
      }
    }
  }

  /// Runs, with enough time for every back-off and linger to permit.
  void Settle()
  {
    constexpr int kRounds = 20;
    for (int round = 0; round < kRounds; ++round) {
      Run();
      Advance(10_s);
    }
  }

  [[nodiscard]] begin_verdict Verdict(const attempt_ref& aAttempt) const
  {
    const auto& result = attempts.at(aAttempt).result;
    return result ? result->verdict : begin_verdict::overloaded;
  }
  [[nodiscard]] bool Answered(const attempt_ref& aAttempt) const
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

  /// Puts something into the object that no router can read.
  void Spoil() { mContent.objects[ShardObjectKey({})].value = "{}"; }

  /// Times that a refusal said "not run" of a key that had run.
  int falseNotRun = 0;
  /// Times that an attempt was answered again.
  int secondAnswers = 0;
  /// Times that a caller was told "done" of a key that had not run.
  int falseDone = 0;

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

  router NewLife(std::size_t aIndex)
  {
    const writer_identity writer{ { "r" + std::to_string(aIndex) }, ++mLives };
    return { writer, ledger_shard(mRules, random_source(mSeed + mLives)), {} };
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

  /// Waits for a wake that is only a write interval away.
  bool AdvanceToNearWake()
  {
    const time_point near = now + kGroupCommitPolicy.smallBatchInterval;
    mWakes.erase(mWakes.begin(), mWakes.upper_bound(now));
    if (mWakes.empty() || *mWakes.begin() > near) {
      return false;
    }
    Advance(*mWakes.begin() - now);
    return true;
  }

  void Feed(std::size_t aRouter, const shard_event& aEvent)
  {
    for (const shard_action& action : mRouters[aRouter].shard.Handle(aEvent, now)) {
      if (std::holds_alternative<read_action>(action)) {
        mRouters[aRouter].call.emplace();
      } else if (const auto* write = std::get_if<write_action>(&action)) {
        mRouters[aRouter].call.emplace();
        mRouters[aRouter].call->write = *write;
      } else if (const auto* verdict = std::get_if<verdict_action>(&action)) {
        Judge(attempts[verdict->attempt], verdict->result);
      } else if (const auto* wake = std::get_if<wake_action>(&action)) {
        mWakes.insert(wake->at);
      }
    }
  }

  void Judge(asked& aAsked, const begin_result& aResult)
  {
    const bool ran = runs[aAsked.record] > 0;
    secondAnswers += aAsked.result ? 1 : 0;
    falseNotRun += ran && aResult.execution == execution_status::not_executed ? 1 : 0;
    falseDone += !ran && aResult.execution == execution_status::executed ? 1 : 0;
    aAsked.result = aResult;
  }

  std::uint64_t mSeed;
  commit_policy mRules;
  std::uint64_t mLives = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mConflicts = 0;
  platform::memory_object_store::content mContent;
  platform::memory_object_store mStore{ mContent };
  std::vector<router> mRouters;
  std::vector<store_call> mDelayed;
  std::set<time_point> mWakes;
};

} // namespace persimmon::ledger
