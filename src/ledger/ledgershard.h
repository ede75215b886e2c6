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

/// When a shard writes. The defaults suit objects that several routers write; grouping pays where
/// one router writes an object for all others.
struct commit_policy
{
  /// How long a close may wait for an intent's write to join.
  duration closeDelay{ 1000 };
  /// Intents that are written without waiting for more.
  std::size_t fullBatchIntents = 1;
  /// How long after the start of the last write fewer intents wait for more; one that comes later
  /// is written at once.
  duration smallBatchInterval{ 0 };
  /// Least time between the starts of two writes.
  duration minWriteInterval{ 0 };
};

/// Rules that group intents two by two.
constexpr commit_policy kGroupCommitPolicy{ { 1000 }, 2, { 25 }, { 4 } };

/// An attempt asks to be committed. Answered by exactly one verdict_action.
struct begin_event
{
  attempt_ref attempt;
  record_id record;
  std::string digest;
  /// When the caller gets its final answer at the latest.
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

/// A read_action ended; no object and no error means that the object does not exist.
struct read_event
{
  std::optional<platform::stored_object> object;
  platform::store_error error = platform::store_error::none;
};

/// A write_action ended, with the new revision or an error.
struct write_event
{
  std::optional<revision> version;
  platform::store_error error = platform::store_error::none;
};

/// The time of a wake_action has come.
struct tick_event
{};

/// The router is about to end: closes are written now.
struct flush_event
{};

using shard_event =
  std::variant<begin_event, close_event, read_event, write_event, tick_event, flush_event>;

/// Read the shard object.
struct read_action
{};

/// Write the shard object under a condition.
struct write_action
{
  std::string value;
  platform::write_condition condition;
  /// Intents in this write, for metrics.
  std::size_t intents = 0;
};

/// Give an attempt its final answer.
struct verdict_action
{
  attempt_ref attempt;
  begin_result result;
};

/// Send a tick_event at this time; a later wake_action does not cancel an earlier one.
struct wake_action
{
  time_point at;
};

/// The value of the shard object cannot be read by this version.
struct unreadable_action
{
  table_reason parseError;
};

/// A close could not be recorded: its record is gone or belongs to another attempt, or too many
/// closes wait.
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

/// Decides for one shard object at one router: which intents are committed, what repeats are told,
/// and when to read and write. At most one read or write is under way at a time; everything that
/// waits joins the next write. Times are those of the router's own boot clock.
class ledger_shard
{
public:
  ledger_shard(commit_policy aRules, random_source aRandom);

  std::vector<shard_action> Handle(const shard_event& aEvent, time_point aNow);

  /// True when nothing waits and nothing is under way, so that the shard may be forgotten.
  [[nodiscard]] bool IsIdle() const;
  /// Closes that wait for the store.
  [[nodiscard]] std::size_t WaitingCloses() const { return mCloses.size(); }
  /// When something last happened other than a tick.
  [[nodiscard]] time_point LastEventTime() const { return mLastEventTime; }

private:
  enum class phase
  {
    idle,
    reading,
    writing
  };

  /// An intent whose fate at the store is not settled.
  struct waiting_intent
  {
    begin_event ask;
    time_point arrived;
    /// Event that brought it.
    std::uint64_t step = 0;
    /// Stands in the write under way.
    bool inWrite = false;
    /// Stood in a write before, so that the object may hold it.
    bool sent = false;
    /// Stood in a write from the known version that may still land.
    bool maybeWritten = false;
    /// The caller has its answer; what remains is to make sure the record says not run.
    bool abandoned = false;
  };

  struct waiting_close
  {
    close_event ask;
    time_point arrived;
    std::uint64_t step = 0;
    bool inWrite = false;
  };

  /// The shard object as last read or written here.
  struct known_object
  {
    std::optional<revision> version;
    ledger_table table;
    /// The object was in this state at some time after this event.
    std::uint64_t step = 0;
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

  /// Answers from records that never change again, without the store.
  bool AnswerFromFinal(const begin_event& aEvent, action_list& aActions) const;
  void GiveUpOverdue(time_point aNow, action_list& aActions);
  void Advance(time_point aNow, action_list& aActions);
  void WakeAt(time_point aDue, time_point aNow, action_list& aActions);
  void StartRead(action_list& aActions);
  void StartWrite(ledger_table aNext, time_point aNow, action_list& aActions);
  void BackOff(time_point aNow);
  void Settle();

  [[nodiscard]] bool NeedsRead() const;
  [[nodiscard]] bool IsOutdated() const;
  [[nodiscard]] bool IsStaleFor(const waiting_intent& aIntent) const;
  [[nodiscard]] bool IsStaleFor(const waiting_close& aClose) const;
  [[nodiscard]] std::optional<time_point> NextDue() const;
  [[nodiscard]] time_point EarliestWrite() const;
  [[nodiscard]] bool HasCallersWaiting() const;

  /// Applies everything that waits to the known table; what is answered by it is removed, what is
  /// left changed the table.
  ledger_table ApplyAll(action_list& aActions);
  /// Returns true when the intent changed the table.
  bool ApplyIntent(const waiting_intent& aIntent, ledger_table& aNext, action_list& aActions) const;
  bool ApplyOwn(const waiting_intent& aIntent, ledger_table& aNext, action_list& aActions) const;
  bool ApplyAbandoned(const waiting_intent& aIntent, ledger_table& aNext) const;
  bool ApplyClose(const waiting_close& aClose, ledger_table& aNext, action_list& aActions) const;

  commit_policy mRules;
  random_source mRandom;
  phase mPhase = phase::idle;
  std::optional<known_object> mKnown;
  std::vector<waiting_intent> mIntents;
  std::vector<waiting_close> mCloses;
  /// What the write under way would make of the object.
  ledger_table mWriting;
  std::uint64_t mStep = 0;
  std::uint64_t mStartedStep = 0;
  time_point mWriteStarted{ INT64_MIN / 2 };
  time_point mBackOffUntil{ INT64_MIN / 2 };
  time_point mLastEventTime;
  /// Earliest wake_action that has not come yet.
  std::optional<time_point> mNextWake;
  std::uint32_t mFailures = 0;
  std::uint32_t mConflicts = 0;
  bool mMustRead = true;
  /// Other routers write this object too, so that a write from a version read earlier would most
  /// likely conflict.
  bool mShared = false;
  /// A write from the known version got no answer and may still land.
  bool mUnsettled = false;
};

} // namespace persimmon::ledger
