#include "ledger/ledgershard.h"

#include <algorithm>

namespace persimmon::ledger {
namespace {

constexpr std::size_t kMaxWaitingIntents = 1024;
constexpr std::size_t kMaxWaitingCloses = 1024;
constexpr duration kFirstBackOff{ 10 };
constexpr duration kLongestBackOff = 1_s;
/// With nobody waiting for an answer.
constexpr duration kLongestIdleBackOff = 60_s;
constexpr std::uint32_t kMaxDoublings = 16;
/// Consecutive conflicts after which contending routers spread out.
constexpr std::uint32_t kPatientConflicts = 2;
constexpr std::uint32_t kMaxConflictDoublings = 5;
constexpr duration kRetryBusy{ 1000 };
constexpr duration kRetryStore{ 2000 };

verdict_action
Verdict(const begin_event& aAsk, begin_result aResult)
{
  return { aAsk.attempt, std::move(aResult) };
}

/// The writer was an earlier life of the router that asks, so it cannot be running the call.
bool
WriterIsGone(const writer_identity& aWriter, const writer_identity& aAsker)
{
  return aWriter.router == aAsker.router && aWriter.startId != aAsker.startId;
}

/// What a repeat is told of a record that another attempt holds.
begin_result
ResultOfOther(const ledger_record& aRecord, const begin_event& aAsk)
{
  if (aRecord.digest != aAsk.digest) {
    const bool ran = aRecord.state == record_state::done;
    return { begin_verdict::key_conflict,
             ran ? execution_status::executed : execution_status::unknown,
             {},
             {} };
  }
  if (aRecord.state == record_state::done) {
    return { begin_verdict::done, execution_status::executed, aRecord.response, {} };
  }
  const bool open = aRecord.state == record_state::intent;
  if (open && !WriterIsGone(aRecord.attempt.writer, aAsk.attempt.writer)) {
    return { begin_verdict::in_progress, execution_status::unknown, {}, kRetryBusy };
  }
  return { begin_verdict::unknown, execution_status::unknown, {}, {} };
}

begin_result
StoreUnavailable()
{
  return { begin_verdict::store_unavailable, execution_status::unknown, {}, kRetryStore };
}

/// Errors after which a write has certainly not happened and never will.
bool
NothingChanged(platform::store_error aError)
{
  return aError == platform::store_error::unavailable ||
         aError == platform::store_error::rate_limited;
}

} // namespace

ledger_shard::ledger_shard(commit_policy aRules, random_source aRandom)
  : mRules(aRules)
  , mRandom(aRandom)
{
}

std::vector<shard_action>
ledger_shard::Handle(const shard_event& aEvent, time_point aNow)
{
  action_list actions;
  ++mStep;
  if (!std::holds_alternative<tick_event>(aEvent)) {
    mLastEventTime = aNow;
  }
  // First, so that a router that was paused grants nothing that its caller no longer waits for.
  GiveUpOverdue(aNow, actions);
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
  Advance(aNow, actions);
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
  if (AnswerFromFinal(aEvent, aActions)) {
    return;
  }
  for (const waiting_intent& other : mIntents) {
    if (other.ask.record == aEvent.record && !other.abandoned) {
      const ledger_record pending{ other.ask.attempt, other.ask.digest, record_state::intent, {} };
      aActions.emplace_back(Verdict(aEvent, ResultOfOther(pending, aEvent)));
      return;
    }
  }
  if (mIntents.size() >= kMaxWaitingIntents) {
    const begin_result refusal{
      begin_verdict::overloaded, execution_status::unknown, {}, kRetryBusy
    };
    aActions.emplace_back(Verdict(aEvent, refusal));
    return;
  }
  mIntents.push_back({ aEvent, aNow, mStep });
  // A shard that backed off with nobody waiting tries again soon for a caller.
  mBackOffUntil = std::min(mBackOffUntil, aNow + kLongestBackOff);
  aActions.emplace_back(wake_action{ aEvent.deadline });
}

bool
ledger_shard::AnswerFromFinal(const begin_event& aEvent, action_list& aActions) const
{
  const ledger_record* record = mKnown ? mKnown->table.Find(aEvent.record) : nullptr;
  const bool final = record && (record->state == record_state::done ||
                                record->state == record_state::outcome_unknown);
  if (final) {
    aActions.emplace_back(Verdict(aEvent, ResultOfOther(*record, aEvent)));
  }
  return final;
}

void
ledger_shard::OnClose(const close_event& aEvent, time_point aNow, action_list& aActions)
{
  if (mCloses.size() >= kMaxWaitingCloses) {
    aActions.emplace_back(dropped_close_action{ aEvent.attempt });
    return;
  }
  mCloses.push_back({ aEvent, aNow, mStep });
}

void
ledger_shard::OnFlush(time_point aNow)
{
  mBackOffUntil = std::min(mBackOffUntil, aNow);
  for (waiting_close& close : mCloses) {
    close.arrived = std::min(close.arrived, aNow - mRules.closeDelay);
  }
}

void
ledger_shard::OnRead(const read_event& aEvent, time_point aNow, action_list& aActions)
{
  mPhase = phase::idle;
  const bool absent = !aEvent.object && (aEvent.error == platform::store_error::none ||
                                         aEvent.error == platform::store_error::not_found);
  if (!aEvent.object && !absent) {
    BackOff(aNow);
    return;
  }
  known_object known;
  known.step = mStartedStep;
  if (aEvent.object) {
    table_reason parseError;
    auto table = ParseLedgerTable(aEvent.object->value, parseError);
    if (!table) {
      aActions.emplace_back(unreadable_action{ parseError });
      BackOff(aNow);
      return;
    }
    known.version = aEvent.object->version;
    known.table = std::move(*table);
  }
  const bool moved = !mKnown || mKnown->version != known.version;
  if (moved) {
    // Unanswered writes were conditional on the old version: they have landed or never will.
    Settle();
  }
  mShared = mKnown ? moved : known.version.has_value();
  mKnown = std::move(known);
  mMustRead = false;
  if (!mUnsettled) {
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
  } else if (NothingChanged(aEvent.error)) {
    BackOff(aNow);
  } else {
    OnUnknownOutcome();
    BackOff(aNow);
  }
  for (waiting_intent& intent : mIntents) {
    intent.inWrite = false;
  }
  for (waiting_close& close : mCloses) {
    close.inWrite = false;
  }
}

void
ledger_shard::OnWritten(revision aVersion, action_list& aActions)
{
  mKnown = known_object{ aVersion, std::move(mWriting), mStartedStep };
  mFailures = 0;
  mConflicts = 0;
  Settle();
  for (const waiting_intent& intent : mIntents) {
    if (intent.inWrite && !intent.abandoned) {
      const begin_result granted{ begin_verdict::granted, execution_status::not_executed, {}, {} };
      aActions.emplace_back(Verdict(intent.ask, granted));
    }
  }
  std::erase_if(
    mIntents, [](const waiting_intent& aIntent) { return aIntent.inWrite && !aIntent.abandoned; });
  std::erase_if(mCloses, [](const waiting_close& aClose) { return aClose.inWrite; });
}

void
ledger_shard::OnConflict(time_point aNow)
{
  // The version moved, so an earlier unanswered write from it cannot land any more; whether it
  // has, the read will show.
  mUnsettled = false;
  mMustRead = true;
  ++mConflicts;
  if (mConflicts >= kPatientConflicts) {
    const std::uint32_t doublings = std::min(mConflicts, kMaxConflictDoublings);
    const auto wait = static_cast<std::int64_t>(mRandom.Below(1ULL << doublings));
    mBackOffUntil = aNow + duration{ wait };
  }
}

void
ledger_shard::OnUnknownOutcome()
{
  mUnsettled = true;
  mMustRead = true;
  for (waiting_intent& intent : mIntents) {
    intent.maybeWritten = intent.maybeWritten || intent.inWrite;
  }
}

void
ledger_shard::Settle()
{
  mUnsettled = false;
  for (waiting_intent& intent : mIntents) {
    intent.maybeWritten = false;
  }
}

void
ledger_shard::BackOff(time_point aNow)
{
  const std::uint32_t doublings = std::min(mFailures, kMaxDoublings);
  const duration longest = HasCallersWaiting() ? kLongestBackOff : kLongestIdleBackOff;
  const duration span = std::min(kFirstBackOff * (std::int64_t{ 1 } << doublings), longest);
  const auto jitter =
    static_cast<std::int64_t>(mRandom.Below(static_cast<std::uint64_t>(span.ms / 2 + 1)));
  mBackOffUntil = aNow + span / 2 + duration{ jitter };
  ++mFailures;
}

void
ledger_shard::GiveUpOverdue(time_point aNow, action_list& aActions)
{
  for (waiting_intent& intent : mIntents) {
    if (!intent.abandoned && aNow >= intent.ask.deadline) {
      aActions.emplace_back(Verdict(intent.ask, StoreUnavailable()));
      intent.abandoned = true;
    }
  }
  std::erase_if(mIntents,
                [](const waiting_intent& aIntent) { return aIntent.abandoned && !aIntent.sent; });
}

void
ledger_shard::Advance(time_point aNow, action_list& aActions)
{
  if (mPhase != phase::idle) {
    return;
  }
  const auto due = NextDue();
  if (!due) {
    return;
  }
  if (*due > aNow) {
    WakeAt(*due, aNow, aActions);
    return;
  }
  if (NeedsRead()) {
    StartRead(aActions);
    return;
  }
  ledger_table next = ApplyAll(aActions);
  if (!mIntents.empty() || !mCloses.empty()) {
    StartWrite(std::move(next), aNow, aActions);
  }
}

void
ledger_shard::WakeAt(time_point aDue, time_point aNow, action_list& aActions)
{
  const bool pending = mNextWake && *mNextWake > aNow && *mNextWake <= aDue;
  if (!pending) {
    mNextWake = aDue;
    aActions.emplace_back(wake_action{ aDue });
  }
}

std::optional<time_point>
ledger_shard::NextDue() const
{
  std::optional<time_point> first;
  const auto consider = [&first](time_point aAt) { first = first ? std::min(*first, aAt) : aAt; };
  for (const waiting_intent& intent : mIntents) {
    consider(intent.abandoned ? intent.arrived + mRules.closeDelay : intent.arrived);
  }
  for (const waiting_close& close : mCloses) {
    consider(close.arrived + mRules.closeDelay);
  }
  return first ? std::optional(std::max(*first, EarliestWrite())) : std::nullopt;
}

time_point
ledger_shard::EarliestWrite() const
{
  if (mFailures > 0 || mConflicts > 0) {
    return mBackOffUntil;
  }
  const bool enough = mIntents.size() >= mRules.fullBatchIntents;
  return mWriteStarted + (enough ? mRules.minWriteInterval : mRules.smallBatchInterval);
}

bool
ledger_shard::HasCallersWaiting() const
{
  return std::any_of(mIntents.begin(), mIntents.end(), [](const waiting_intent& aIntent) {
    return !aIntent.abandoned;
  });
}

bool
ledger_shard::NeedsRead() const
{
  if (mMustRead || !mKnown || IsOutdated()) {
    return true;
  }
  const auto stale = [this](const auto& aWaiting) { return IsStaleFor(aWaiting); };
  return std::any_of(mIntents.begin(), mIntents.end(), stale) ||
         std::any_of(mCloses.begin(), mCloses.end(), stale);
}

bool
ledger_shard::IsOutdated() const
{
  const bool readForThese =
    std::any_of(mIntents.begin(),
                mIntents.end(),
                [this](const waiting_intent& aIntent) { return aIntent.step <= mKnown->step; }) ||
    std::any_of(mCloses.begin(), mCloses.end(), [this](const waiting_close& aClose) {
      return aClose.step <= mKnown->step;
    });
  return mShared && !readForThese;
}

bool
ledger_shard::IsStaleFor(const waiting_intent& aIntent) const
{
  const ledger_record* record = mKnown->table.Find(aIntent.ask.record);
  const bool openElsewhere =
    record && record->state == record_state::intent && record->attempt != aIntent.ask.attempt;
  return openElsewhere && mKnown->step < aIntent.step;
}

bool
ledger_shard::IsStaleFor(const waiting_close& aClose) const
{
  const ledger_record* record = mKnown->table.Find(aClose.ask.record);
  const bool own = record && record->attempt == aClose.ask.attempt;
  return !own && mKnown->step < aClose.step;
}

void
ledger_shard::StartRead(action_list& aActions)
{
  mPhase = phase::reading;
  mStartedStep = mStep;
  aActions.emplace_back(read_action{});
}

void
ledger_shard::StartWrite(ledger_table aNext, time_point aNow, action_list& aActions)
{
  mPhase = phase::writing;
  mStartedStep = mStep;
  mWriteStarted = aNow;
  mWriting = std::move(aNext);
  for (waiting_intent& intent : mIntents) {
    intent.inWrite = true;
    intent.sent = true;
  }
  for (waiting_close& close : mCloses) {
    close.inWrite = true;
  }
  aActions.emplace_back(
    write_action{ RenderLedgerTable(mWriting), { mKnown->version }, mIntents.size() });
}

ledger_table
ledger_shard::ApplyAll(action_list& aActions)
{
  ledger_table next = mKnown->table;
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
  const begin_event& ask = aIntent.ask;
  const ledger_record* record = aNext.Find(ask.record);
  if (record && record->attempt == ask.attempt) {
    return ApplyOwn(aIntent, aNext, aActions);
  }
  if (aIntent.abandoned) {
    return ApplyAbandoned(aIntent, aNext);
  }
  const bool reopens =
    record && record->state == record_state::not_run && record->digest == ask.digest;
  if (record && !reopens) {
    aActions.emplace_back(Verdict(ask, ResultOfOther(*record, ask)));
    return false;
  }
  if (!record && !aIntent.maybeWritten && aNext.records.size() >= kMaxRecordsPerShard) {
    aActions.emplace_back(
      Verdict(ask, { begin_verdict::full, execution_status::not_executed, {}, kRetryBusy }));
    return false;
  }
  aNext.records[ask.record] = { ask.attempt, ask.digest, record_state::intent, {} };
  return true;
}

bool
ledger_shard::ApplyOwn(const waiting_intent& aIntent,
                       ledger_table& aNext,
                       action_list& aActions) const
{
  const bool open = aNext.Find(aIntent.ask.record)->state == record_state::intent;
  if (!aIntent.abandoned) {
    const begin_verdict verdict = open ? begin_verdict::granted : begin_verdict::unknown;
    const execution_status execution =
      open ? execution_status::not_executed : execution_status::unknown;
    aActions.emplace_back(Verdict(aIntent.ask, { verdict, execution, {}, {} }));
    return false;
  }
  if (open) {
    aNext.Close(aIntent.ask.record, record_state::not_run, {});
  }
  return open;
}

bool
ledger_shard::ApplyAbandoned(const waiting_intent& aIntent, ledger_table& aNext) const
{
  // As long as its write may still land, another write from the same version must shut it out.
  const bool mayLand = mUnsettled && aIntent.maybeWritten;
  if (mayLand) {
    const begin_event& ask = aIntent.ask;
    aNext.records[ask.record] = { ask.attempt, ask.digest, record_state::not_run, {} };
  }
  return mayLand;
}

bool
ledger_shard::ApplyClose(const waiting_close& aClose,
                         ledger_table& aNext,
                         action_list& aActions) const
{
  const ledger_record* record = aNext.Find(aClose.ask.record);
  const bool own = record && record->attempt == aClose.ask.attempt;
  if (!own) {
    aActions.emplace_back(dropped_close_action{ aClose.ask.attempt });
    return false;
  }
  if (record->state != record_state::intent) {
    return false;
  }
  aNext.Close(aClose.ask.record, aClose.ask.outcome, aClose.ask.response);
  return true;
}

} // namespace persimmon::ledger
