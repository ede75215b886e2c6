#include "ledger/ledgershard.h"

#include <algorithm>

namespace persimmon::ledger {
namespace {

constexpr std::size_t kMaxWaitingIntents = 1024;
constexpr std::size_t kMaxWaitingCloses = 1024;
constexpr duration kInitialBackOff{ 10 };
constexpr duration kMaxBackOff = 1_s;
/// Maximum back-off while no caller waits for a verdict.
constexpr duration kMaxBackOffWithoutCallers = 60_s;
constexpr std::uint32_t kMaxBackOffDoublings = 16;
/// Consecutive conflicts from which routers add a random delay to avoid further contention.
constexpr std::uint32_t kConflictsBeforeBackOff = 2;
constexpr std::uint32_t kMaxConflictDoublings = 5;
constexpr duration kBusyRetryAfter{ 1000 };
constexpr duration kStoreRetryAfter{ 2000 };

verdict_action
MakeVerdict(const begin_event& aRequest, begin_result aResult)
{
  return { aRequest.attempt, std::move(aResult) };
}

/// Returns true when the writer was an earlier process of the requesting router, so that it cannot
/// be executing the call any more.
bool
WriterHasRestarted(const writer_identity& aWriter, const writer_identity& aRequester)
{
  return aWriter.router == aRequester.router && aWriter.startId != aRequester.startId;
}

/// Returns the result for a request whose record belongs to another attempt.
begin_result
ResultForRepeat(const ledger_record& aRecord, const begin_event& aRequest)
{
  if (aRecord.digest != aRequest.digest) {
    const bool executed = aRecord.state == record_state::done;
    return { begin_verdict::key_conflict,
             executed ? execution_status::executed : execution_status::unknown,
             {},
             {} };
  }
  if (aRecord.state == record_state::done) {
    return { begin_verdict::done, execution_status::executed, aRecord.response, {} };
  }
  const bool open = aRecord.state == record_state::intent;
  if (open && !WriterHasRestarted(aRecord.attempt.writer, aRequest.attempt.writer)) {
    return { begin_verdict::in_progress, execution_status::unknown, {}, kBusyRetryAfter };
  }
  return { begin_verdict::unknown, execution_status::unknown, {}, {} };
}

begin_result
StoreUnavailableResult()
{
  return { begin_verdict::store_unavailable, execution_status::unknown, {}, kStoreRetryAfter };
}

/// Returns true for errors that prove that a write was not and never will be applied.
bool
IsProvenNotApplied(platform::store_error aError)
{
  return aError == platform::store_error::unavailable ||
         aError == platform::store_error::rate_limited;
}

} // namespace

ledger_shard::ledger_shard(commit_policy aPolicy, random_source aRandom)
  : mPolicy(aPolicy)
  , mRandom(aRandom)
{
}

std::vector<shard_action>
ledger_shard::Handle(const shard_event& aEvent, time_point aNow)
{
  action_list actions;
  ++mEventNumber;
  if (!std::holds_alternative<tick_event>(aEvent)) {
    mLastEventTime = aNow;
  }
  // Comes before the event so that, after a pause of the process, no intent is granted whose caller
  // no longer waits.
  ExpireOverdueIntents(aNow, actions);
  if (const auto* begin = std::get_if<begin_event>(&aEvent)) {
    OnBegin(*begin, aNow, actions);
  } else if (const auto* close = std::get_if<close_event>(&aEvent)) {
    OnClose(*close, aNow, actions);
  } else if (const auto* read = std::get_if<read_event>(&aEvent)) {
    OnRead(*read, aNow, actions);
  } else if (const auto* write = std::get_if<write_event>(&aEvent)) {
    OnWrite(*write, aNow, actions);
  } else if (std::holds_alternative<flush_event>(aEvent)) {
    OnFlush(aNow);
  }
  StartNextCall(aNow, actions);
  return actions;
}

bool
ledger_shard::IsIdle() const
{
  return mPhase == phase::idle && mIntents.empty() && mCloses.empty();
}

void
ledger_shard::OnBegin(const begin_event& aEvent, time_point aNow, action_list& aActions)
{
  if (AnswerFromFinalRecord(aEvent, aActions)) {
    return;
  }
  for (const waiting_intent& other : mIntents) {
    if (other.request.record == aEvent.record && !other.abandoned) {
      const ledger_record pending{
        other.request.attempt, other.request.digest, record_state::intent, {}
      };
      aActions.emplace_back(MakeVerdict(aEvent, ResultForRepeat(pending, aEvent)));
      return;
    }
  }
  if (mIntents.size() >= kMaxWaitingIntents) {
    const begin_result refusal{
      begin_verdict::overloaded, execution_status::unknown, {}, kBusyRetryAfter
    };
    aActions.emplace_back(MakeVerdict(aEvent, refusal));
    return;
  }
  mIntents.push_back({ aEvent, aNow, mEventNumber });
  // A shard without waiting callers may have backed off for longer than a caller should backOffMs.
  mBackOffUntil = std::min(mBackOffUntil, aNow + kMaxBackOff);
  aActions.emplace_back(wake_action{ aEvent.deadline });
}

bool
ledger_shard::AnswerFromFinalRecord(const begin_event& aEvent, action_list& aActions) const
{
  const ledger_record* record = mCached ? mCached->table.Find(aEvent.record) : nullptr;
  const bool isFinal = record && (record->state == record_state::done ||
                                  record->state == record_state::outcome_unknown);
  if (isFinal) {
    aActions.emplace_back(MakeVerdict(aEvent, ResultForRepeat(*record, aEvent)));
  }
  return isFinal;
}

void
ledger_shard::OnClose(const close_event& aEvent, time_point aNow, action_list& aActions)
{
  if (mCloses.size() >= kMaxWaitingCloses) {
    aActions.emplace_back(dropped_close_action{ aEvent.attempt });
    return;
  }
  mCloses.push_back({ aEvent, aNow, mEventNumber });
}

void
ledger_shard::OnFlush(time_point aNow)
{
  mBackOffUntil = std::min(mBackOffUntil, aNow);
  for (waiting_close& close : mCloses) {
    close.arrivedAt = std::min(close.arrivedAt, aNow - mPolicy.closeDelay);
  }
}

void
ledger_shard::OnRead(const read_event& aEvent, time_point aNow, action_list& aActions)
{
  mPhase = phase::idle;
  const bool missing = !aEvent.object && (aEvent.error == platform::store_error::none ||
                                          aEvent.error == platform::store_error::not_found);
  if (!aEvent.object && !missing) {
    BackOff(aNow);
    return;
  }
  cached_object fetched;
  fetched.eventNumber = mCallStartEvent;
  if (aEvent.object) {
    table_reason parseError;
    auto table = ParseLedgerTable(aEvent.object->value, parseError);
    if (!table) {
      aActions.emplace_back(unreadable_action{ parseError });
      BackOff(aNow);
      return;
    }
    fetched.version = aEvent.object->version;
    fetched.table = std::move(*table);
  }
  const bool versionChanged = !mCached || mCached->version != fetched.version;
  if (versionChanged) {
    // Writes without a reply were conditional on the old version: each was either applied already
    // or never will be.
    MarkWritesResolved();
  }
  mHasOtherWriters = mCached ? versionChanged : fetched.version.has_value();
  mCached = std::move(fetched);
  mMustRead = false;
  if (!mWriteUnresolved) {
    mFailures = 0;
  }
}

void
ledger_shard::OnWrite(const write_event& aEvent, time_point aNow, action_list& aActions)
{
  mPhase = phase::idle;
  if (aEvent.version) {
    OnWritten(*aEvent.version, aActions);
  } else if (aEvent.error == platform::store_error::conflict) {
    OnConflict(aNow);
  } else if (IsProvenNotApplied(aEvent.error)) {
    BackOff(aNow);
  } else {
    OnUnknownOutcome();
    BackOff(aNow);
  }
  for (waiting_intent& intent : mIntents) {
    intent.inCurrentWrite = false;
  }
  for (waiting_close& close : mCloses) {
    close.inCurrentWrite = false;
  }
}

void
ledger_shard::OnWritten(revision aVersion, action_list& aActions)
{
  mCached = cached_object{ aVersion, std::move(mTableBeingWritten), mCallStartEvent };
  mFailures = 0;
  mConflicts = 0;
  MarkWritesResolved();
  for (const waiting_intent& intent : mIntents) {
    if (intent.inCurrentWrite && !intent.abandoned) {
      const begin_result granted{ begin_verdict::granted, execution_status::not_executed, {}, {} };
      aActions.emplace_back(MakeVerdict(intent.request, granted));
    }
  }
  std::erase_if(mIntents, [](const waiting_intent& aIntent) {
    return aIntent.inCurrentWrite && !aIntent.abandoned;
  });
  std::erase_if(mCloses, [](const waiting_close& aClose) { return aClose.inCurrentWrite; });
}

void
ledger_shard::OnConflict(time_point aNow)
{
  // The version changed, so an earlier write without a reply can no longer be applied. The next
  // read shows whether it was.
  mWriteUnresolved = false;
  mMustRead = true;
  ++mConflicts;
  if (mConflicts >= kConflictsBeforeBackOff) {
    const std::uint32_t doublings = std::min(mConflicts, kMaxConflictDoublings);
    const auto backOffMs = static_cast<std::int64_t>(mRandom.Below(1ULL << doublings));
    mBackOffUntil = aNow + duration{ backOffMs };
  }
}

void
ledger_shard::OnUnknownOutcome()
{
  mWriteUnresolved = true;
  mMustRead = true;
  for (waiting_intent& intent : mIntents) {
    intent.mayStillBeApplied = intent.mayStillBeApplied || intent.inCurrentWrite;
  }
}

void
ledger_shard::MarkWritesResolved()
{
  mWriteUnresolved = false;
  for (waiting_intent& intent : mIntents) {
    intent.mayStillBeApplied = false;
  }
}

void
ledger_shard::BackOff(time_point aNow)
{
  const std::uint32_t doublings = std::min(mFailures, kMaxBackOffDoublings);
  const duration maxBackOff = HasWaitingCallers() ? kMaxBackOff : kMaxBackOffWithoutCallers;
  const duration backOff = std::min(kInitialBackOff * (std::int64_t{ 1 } << doublings), maxBackOff);
  const auto jitter =
    static_cast<std::int64_t>(mRandom.Below(static_cast<std::uint64_t>(backOff.ms / 2 + 1)));
  mBackOffUntil = aNow + backOff / 2 + duration{ jitter };
  ++mFailures;
}

void
ledger_shard::ExpireOverdueIntents(time_point aNow, action_list& aActions)
{
  for (waiting_intent& intent : mIntents) {
    if (!intent.abandoned && aNow >= intent.request.deadline) {
      aActions.emplace_back(MakeVerdict(intent.request, StoreUnavailableResult()));
      intent.abandoned = true;
    }
  }
  std::erase_if(
    mIntents, [](const waiting_intent& aIntent) { return aIntent.abandoned && !aIntent.everSent; });
}

void
ledger_shard::StartNextCall(time_point aNow, action_list& aActions)
{
  if (mPhase != phase::idle) {
    return;
  }
  const auto due = NextActionTime();
  if (!due) {
    return;
  }
  if (*due > aNow) {
    ScheduleWake(*due, aNow, aActions);
    return;
  }
  if (NeedsRead()) {
    StartRead(aActions);
    return;
  }
  ledger_table next = ApplyWaiting(aActions);
  if (!mIntents.empty() || !mCloses.empty()) {
    StartWrite(std::move(next), aNow, aActions);
  }
}

void
ledger_shard::ScheduleWake(time_point aDue, time_point aNow, action_list& aActions)
{
  const bool pending = mNextWake && *mNextWake > aNow && *mNextWake <= aDue;
  if (!pending) {
    mNextWake = aDue;
    aActions.emplace_back(wake_action{ aDue });
  }
}

std::optional<time_point>
ledger_shard::NextActionTime() const
{
  std::optional<time_point> earliest;
  const auto includeTime = [&earliest](time_point aAt) {
    earliest = earliest ? std::min(*earliest, aAt) : aAt;
  };
  for (const waiting_intent& intent : mIntents) {
    includeTime(intent.abandoned ? intent.arrivedAt + mPolicy.closeDelay : intent.arrivedAt);
  }
  for (const waiting_close& close : mCloses) {
    includeTime(close.arrivedAt + mPolicy.closeDelay);
  }
  return earliest ? std::optional(std::max(*earliest, EarliestCallTime())) : std::nullopt;
}

time_point
ledger_shard::EarliestCallTime() const
{
  if (mFailures > 0 || mConflicts > 0) {
    return mBackOffUntil;
  }
  const bool isFullBatch = mIntents.size() >= mPolicy.fullBatchIntents;
  return mLastWriteStart + (isFullBatch ? mPolicy.minWriteInterval : mPolicy.smallBatchInterval);
}

bool
ledger_shard::HasWaitingCallers() const
{
  return std::any_of(mIntents.begin(), mIntents.end(), [](const waiting_intent& aIntent) {
    return !aIntent.abandoned;
  });
}

bool
ledger_shard::NeedsRead() const
{
  if (mMustRead || !mCached || IsLikelyOutdated()) {
    return true;
  }
  const auto stale = [this](const auto& aWaiting) { return IsStaleFor(aWaiting); };
  return std::any_of(mIntents.begin(), mIntents.end(), stale) ||
         std::any_of(mCloses.begin(), mCloses.end(), stale);
}

bool
ledger_shard::IsLikelyOutdated() const
{
  const bool readForWaiting =
    std::any_of(mIntents.begin(),
                mIntents.end(),
                [this](const waiting_intent& aIntent) {
                  return aIntent.eventNumber <= mCached->eventNumber;
                }) ||
    std::any_of(mCloses.begin(), mCloses.end(), [this](const waiting_close& aClose) {
      return aClose.eventNumber <= mCached->eventNumber;
    });
  return mHasOtherWriters && !readForWaiting;
}

bool
ledger_shard::IsStaleFor(const waiting_intent& aIntent) const
{
  const ledger_record* record = mCached->table.Find(aIntent.request.record);
  const bool heldByOtherAttempt =
    record && record->state == record_state::intent && record->attempt != aIntent.request.attempt;
  return heldByOtherAttempt && mCached->eventNumber < aIntent.eventNumber;
}

bool
ledger_shard::IsStaleFor(const waiting_close& aClose) const
{
  const ledger_record* record = mCached->table.Find(aClose.request.record);
  const bool isOwn = record && record->attempt == aClose.request.attempt;
  return !isOwn && mCached->eventNumber < aClose.eventNumber;
}

void
ledger_shard::StartRead(action_list& aActions)
{
  mPhase = phase::reading;
  mCallStartEvent = mEventNumber;
  aActions.emplace_back(read_action{});
}

void
ledger_shard::StartWrite(ledger_table aNext, time_point aNow, action_list& aActions)
{
  mPhase = phase::writing;
  mCallStartEvent = mEventNumber;
  mLastWriteStart = aNow;
  mTableBeingWritten = std::move(aNext);
  for (waiting_intent& intent : mIntents) {
    intent.inCurrentWrite = true;
    intent.everSent = true;
  }
  for (waiting_close& close : mCloses) {
    close.inCurrentWrite = true;
  }
  aActions.emplace_back(
    write_action{ RenderLedgerTable(mTableBeingWritten), { mCached->version }, mIntents.size() });
}

ledger_table
ledger_shard::ApplyWaiting(action_list& aActions)
{
  ledger_table next = mCached->table;
  std::erase_if(
    mIntents, [&](const waiting_intent& aIntent) { return !ApplyIntent(aIntent, next, aActions); });
  std::erase_if(mCloses,
                [&](const waiting_close& aClose) { return !ApplyClose(aClose, next, aActions); });
  return next;
}

bool
ledger_shard::ApplyIntent(const waiting_intent& aIntent,
                          ledger_table& aNext,
                          action_list& aActions) const
{
  const begin_event& request = aIntent.request;
  const ledger_record* record = aNext.Find(request.record);
  if (record && record->attempt == request.attempt) {
    return ApplyOwnIntent(aIntent, aNext, aActions);
  }
  if (aIntent.abandoned) {
    return ApplyAbandonedIntent(aIntent, aNext);
  }
  const bool reopensRecord =
    record && record->state == record_state::not_run && record->digest == request.digest;
  if (record && !reopensRecord) {
    aActions.emplace_back(MakeVerdict(request, ResultForRepeat(*record, request)));
    return false;
  }
  if (!record && !aIntent.mayStillBeApplied && aNext.records.size() >= kMaxRecordsPerShard) {
    aActions.emplace_back(MakeVerdict(
      request, { begin_verdict::full, execution_status::not_executed, {}, kBusyRetryAfter }));
    return false;
  }
  aNext.records[request.record] = { request.attempt, request.digest, record_state::intent, {} };
  return true;
}

bool
ledger_shard::ApplyOwnIntent(const waiting_intent& aIntent,
                             ledger_table& aNext,
                             action_list& aActions) const
{
  const bool open = aNext.Find(aIntent.request.record)->state == record_state::intent;
  if (!aIntent.abandoned) {
    const begin_verdict verdict = open ? begin_verdict::granted : begin_verdict::unknown;
    const execution_status execution =
      open ? execution_status::not_executed : execution_status::unknown;
    aActions.emplace_back(MakeVerdict(aIntent.request, { verdict, execution, {}, {} }));
    return false;
  }
  if (open) {
    aNext.Close(aIntent.request.record, record_state::not_run, {});
  }
  return open;
}

bool
ledger_shard::ApplyAbandonedIntent(const waiting_intent& aIntent, ledger_table& aNext) const
{
  // While its write may still be applied, another write conditional on the same version must
  // prevent that.
  const bool mayStillBeApplied = mWriteUnresolved && aIntent.mayStillBeApplied;
  if (mayStillBeApplied) {
    const begin_event& request = aIntent.request;
    aNext.records[request.record] = { request.attempt, request.digest, record_state::not_run, {} };
  }
  return mayStillBeApplied;
}

bool
ledger_shard::ApplyClose(const waiting_close& aClose,
                         ledger_table& aNext,
                         action_list& aActions) const
{
  const ledger_record* record = aNext.Find(aClose.request.record);
  const bool isOwn = record && record->attempt == aClose.request.attempt;
  if (!isOwn) {
    aActions.emplace_back(dropped_close_action{ aClose.request.attempt });
    return false;
  }
  if (record->state != record_state::intent) {
    return false;
  }
  aNext.Close(aClose.request.record, aClose.request.outcome, aClose.request.response);
  return true;
}

} // namespace persimmon::ledger
