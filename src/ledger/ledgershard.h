#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "ledger/beginresult.h"
#include "ledger/ledgertable.h"
#include "platform/storedobject.h"
#include "platform/storeerror.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace persimmon::ledger {

/// When a shard writes its object. The defaults suit objects that several routers write. Grouping
/// intents is worthwhile where a single router writes an object on behalf of all others.
struct commit_policy
{
  /// Maximum time that a close waits to share the write of an intent.
  duration closeDelay{ 1000 };
  /// Number of waiting intents that is written without waiting for more.
  std::size_t fullBatchIntents = 1;
  /// Minimum time between the starts of two writes with fewer waiting intents than
  /// fullBatchIntents. An intent that arrives later than that is written at once.
  duration smallBatchInterval{ 0 };
  /// Minimum time between the starts of two writes.
  duration minWriteInterval{ 0 };
};

/// Policy that groups intents in pairs.
constexpr commit_policy kGroupCommitPolicy{ { 1000 }, 2, { 25 }, { 4 } };

/// An attempt requests a committed intent. Exactly one verdict_action follows for it.
struct begin_event
{
  attempt_ref attempt;
  record_id record;
  std::string digest;
  /// The verdict is given at this time at the latest.
  time_point deadline;
};

/// A granted attempt ended.
struct close_event
{
  attempt_ref attempt;
  record_id record;
  record_state outcome = record_state::outcome_unknown;
  std::optional<stored_response> response;
};

/// A read_action completed; no object and no error means that the object does not exist.
struct read_event
{
  std::optional<platform::stored_object> object;
  platform::store_error error = platform::store_error::none;
};

/// A write_action completed, with the new revision or an error.
struct write_event
{
  std::optional<revision> version;
  platform::store_error error = platform::store_error::none;
};

/// The time of a wake_action was reached.
struct tick_event
{};

/// The router is about to stop: waiting closes are written without delay.
struct flush_event
{};

using shard_event =
  std::variant<begin_event, close_event, read_event, write_event, tick_event, flush_event>;

/// Reads the shard object; a read_event reports the result.
struct read_action
{};

/// Writes the shard object conditionally; a write_event reports the result.
struct write_action
{
  std::string value;
  platform::write_condition condition;
  /// Number of intents in this write, for metrics.
  std::size_t intents = 0;
};

/// Gives an attempt its final result.
struct verdict_action
{
  attempt_ref attempt;
  begin_result result;
};

/// Requests a tick_event at this time; a later wake_action does not cancel an earlier one.
struct wake_action
{
  time_point at;
};

/// Reports that this version cannot parse the value of the shard object.
struct unreadable_action
{
  table_reason parseError;
};

/// Reports that a close could not be recorded: its record does not exist or belongs to another
/// attempt, or too many closes wait.
struct dropped_close_action
{
  attempt_ref attempt;
};

using shard_action = std::variant<read_action,
                                  write_action,
                                  verdict_action,
                                  wake_action,
                                  unreadable_action,
                                  dropped_close_action>;

/// State machine of one shard object at one router. Decides which intents are committed, which
/// results repeats get, and when the object is read and written. At most one read or write is in
/// flight at a time; everything that waits is part of the next write. Times are those of the
/// router's own boot clock.
class ledger_shard
{
public:
  ledger_shard(commit_policy aPolicy, random_source aRandom);

  /// Processes an event and returns the actions that the caller must carry out.
  std::vector<shard_action> Handle(const shard_event& aEvent, time_point aNow);

  /// Returns true when nothing waits and no store call is in flight, so that the shard can be
  /// removed from memory.
  [[nodiscard]] bool IsIdle() const;
  /// Returns the number of closes that wait for the store.
  [[nodiscard]] std::size_t WaitingCloses() const { return mCloses.size(); }
  /// Returns the time of the last event other than a tick.
  [[nodiscard]] time_point LastEventTime() const { return mLastEventTime; }

private:
  enum class phase
  {
    idle,
    reading,
    writing
  };

  /// An intent that is not yet known to be recorded or rejected.
  struct waiting_intent
  {
    begin_event request;
    time_point arrivedAt;
    /// Number of the event that added the intent.
    std::uint64_t eventNumber = 0;
    /// Part of the write in flight.
    bool inCurrentWrite = false;
    /// Was part of a write, so the object may contain it.
    bool everSent = false;
    /// Was part of a write, conditional on the cached version, that may still be applied.
    bool mayStillBeApplied = false;
    /// The caller already got its verdict; only the record must still be set to not_run.
    bool abandoned = false;
  };

  struct waiting_close
  {
    close_event request;
    time_point arrivedAt;
    std::uint64_t eventNumber = 0;
    bool inCurrentWrite = false;
  };

  /// The shard object as this router last read or wrote it.
  struct cached_object
  {
    std::optional<revision> version;
    ledger_table table;
    /// The object had this content at some time after the event with this number.
    std::uint64_t eventNumber = 0;
  };

  using action_list = std::vector<shard_action>;

  void OnBegin(const begin_event& aEvent, time_point aNow, action_list& aActions);
  void OnClose(const close_event& aEvent, time_point aNow, action_list& aActions);
  void OnFlush(time_point aNow);
  void OnRead(const read_event& aEvent, time_point aNow, action_list& aActions);
  void OnWrite(const write_event& aEvent, time_point aNow, action_list& aActions);
  void OnWritten(revision aVersion, action_list& aActions);
  void OnConflict(time_point aNow);
  void OnUnknownOutcome();

  /// Answers from a cached record whose state is final, without a store call. Returns false when
  /// there is none.
  bool AnswerFromFinalRecord(const begin_event& aEvent, action_list& aActions) const;
  void ExpireOverdueIntents(time_point aNow, action_list& aActions);
  void StartNextCall(time_point aNow, action_list& aActions);
  void ScheduleWake(time_point aDue, time_point aNow, action_list& aActions);
  void StartRead(action_list& aActions);
  void StartWrite(ledger_table aNext, time_point aNow, action_list& aActions);
  void BackOff(time_point aNow);
  void MarkWritesResolved();

  [[nodiscard]] bool NeedsRead() const;
  [[nodiscard]] bool IsLikelyOutdated() const;
  [[nodiscard]] bool IsStaleFor(const waiting_intent& aIntent) const;
  [[nodiscard]] bool IsStaleFor(const waiting_close& aClose) const;
  [[nodiscard]] std::optional<time_point> NextActionTime() const;
  [[nodiscard]] time_point EarliestCallTime() const;
  [[nodiscard]] bool HasWaitingCallers() const;

  /// Returns the cached table with all waiting intents and closes applied. Removes those that
  /// required no change of the table; those left must be written.
  ledger_table ApplyWaiting(action_list& aActions);
  /// Returns true when the intent changed the table.
  bool ApplyIntent(const waiting_intent& aIntent, ledger_table& aNext, action_list& aActions) const;
  bool ApplyOwnIntent(const waiting_intent& aIntent,
                      ledger_table& aNext,
                      action_list& aActions) const;
  bool ApplyAbandonedIntent(const waiting_intent& aIntent, ledger_table& aNext) const;
  bool ApplyClose(const waiting_close& aClose, ledger_table& aNext, action_list& aActions) const;

  commit_policy mPolicy;
  random_source mRandom;
  phase mPhase = phase::idle;
  std::optional<cached_object> mCached;
  std::vector<waiting_intent> mIntents;
  std::vector<waiting_close> mCloses;
  /// Content of the object after the write in flight, if it succeeds.
  ledger_table mTableBeingWritten;
  /// Number of the event being handled; counts up from 1.
  std::uint64_t mEventNumber = 0;
  /// Number of the event that started the current or last store call.
  std::uint64_t mCallStartEvent = 0;
  time_point mLastWriteStart{ INT64_MIN / 2 };
  time_point mBackOffUntil{ INT64_MIN / 2 };
  time_point mLastEventTime;
  /// Earliest requested wake_action that is still in the future.
  std::optional<time_point> mNextWake;
  std::uint32_t mFailures = 0;
  std::uint32_t mConflicts = 0;
  bool mMustRead = true;
  /// Other routers write this object too, so a write based on a version read earlier would most
  /// likely conflict.
  bool mHasOtherWriters = false;
  /// A write conditional on the cached version got no reply and may still be applied.
  bool mWriteUnresolved = false;
};

} // namespace persimmon::ledger
