#pragma once

#include "ledger/ledgerservice.h"

#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace persimmon::ledger {

template<platform::object_store Store, clock_source Clock, clock_source Wall>
ledger_service<Store, Clock, Wall>::ledger_service(ledger_settings aSettings,
                                                   const store_factory& aMakeStore,
                                                   metrics_registry& aMetrics,
                                                   Clock aClock,
                                                   Wall aWall)
  : mSettings(std::move(aSettings))
  , mMetrics(aMetrics)
  , mClock(std::move(aClock))
  , mWall(std::move(aWall))
  , mSweep(random_source(mSettings.seed))
{
  mSettings.self.router = BoundedRouterId(mSettings.self.router);
  mTimers.emplace();
  for (std::size_t i = 0; i < mSettings.storeThreads; ++i) {
    mThreads.emplace_back(
      [this, store = aMakeStore()]() mutable { RunStoreThread(std::move(store)); });
  }
  ProcessSweepEvent(sweep_tick{});
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
ledger_service<Store, Clock, Wall>::~ledger_service()
{
  mJobs.Close();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mTimers.reset();
  for (const unadmitted_call& unadmitted : mUnadmittedCalls) {
    DeliverReply(unadmitted.caller, {});
  }
  for (stripe& current : mStripes) {
    for (const auto& [attempt, caller] : current.callers) {
      DeliverReply(caller, {});
    }
  }
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Begin(const begin_request& aRequest,
                                          const begin_callback& aOnReply)
{
  waiting_caller caller;
  caller.startedAt = mClock.Now();
  caller.onReply = aOnReply;
  begin_result refusal;
  const auto key = ValidateKey(aRequest, refusal);
  if (!key) {
    Refuse(caller, refusal);
    return;
  }
  caller.permit.attempt = { mSettings.self, mNextAttempt++ };
  caller.permit.record = MakeRecordId(key->key, aRequest.service, aRequest.customer);
  caller.permit.shard = ShardForKey(*key, caller.permit.record);
  caller.keyAge = mWall.Now() - key->createdAt;
  const duration timeout = std::min(aRequest.timeout, kMaxBeginTimeout);
  const begin_event event{ caller.permit.attempt,
                           caller.permit.record,
                           HashDigest(aRequest.digest),
                           caller.startedAt + timeout };
  {
    const std::lock_guard lock(mSweepMutex);
    mUnadmittedCalls.push_back({ std::move(caller), event });
  }
  ProcessSweepEvent(sweep_tick{ true });
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::AdmitWaitingCalls()
{
  std::vector<unadmitted_call> ready;
  bool floorFresh = false;
  {
    const std::lock_guard lock(mSweepMutex);
    floorFresh = mSweep.IsFloorFresh(mClock.Now());
    if (floorFresh || mSweep.IsIdle()) {
      ready.swap(mUnadmittedCalls);
    }
  }
  for (unadmitted_call& unadmitted : ready) {
    if (floorFresh) {
      Admit(std::move(unadmitted.caller), unadmitted.event);
    } else {
      Refuse(unadmitted.caller,
             { begin_verdict::store_unavailable, execution_status::unknown, {}, kFloorRetryAfter });
    }
  }
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Admit(waiting_caller aCaller, const begin_event& aEvent)
{
  const dispatch_permit permit = aCaller.permit;
  bool sliceAccepted = false;
  {
    const std::lock_guard lock(mSweepMutex);
    sliceAccepted = mSweep.Accepts(permit.shard.slice);
  }
  if (!sliceAccepted) {
    Refuse(aCaller, { begin_verdict::key_too_old, execution_status::unknown, {}, {} });
    return;
  }
  stripe& shardStripe = StripeFor(permit.shard);
  {
    const std::lock_guard lock(shardStripe.mutex);
    shardStripe.callers.emplace(permit.attempt, std::move(aCaller));
  }
  ProcessEvent(permit.shard, aEvent);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Close(const dispatch_permit& aPermit, close_outcome aOutcome)
{
  if (mWaitingCloses >= mSettings.maxWaitingCloses) {
    Perform(aPermit.shard, dropped_close_action{ aPermit.attempt });
    return;
  }
  ProcessEvent(
    aPermit.shard,
    close_event{ aPermit.attempt, aPermit.record, aOutcome.state, std::move(aOutcome.response) });
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
bool
ledger_service<Store, Clock, Wall>::Flush(duration aTimeout)
{
  const time_point end = boot_clock().Now() + aTimeout;
  time_point next = boot_clock().Now();
  while (mWaitingCloses > 0 && boot_clock().Now() < end) {
    if (boot_clock().Now() >= next) {
      FlushAllShards();
      next = next + kFlushRetryInterval;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kFlushPollInterval.ms));
  }
  return mWaitingCloses == 0;
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::FlushAllShards()
{
  std::vector<shard_id> waiting;
  for (stripe& current : mStripes) {
    const std::lock_guard lock(current.mutex);
    for (const auto& [id, shard] : current.shards) {
      if (shard.WaitingCloses() > 0) {
        waiting.push_back(id);
      }
    }
  }
  for (const shard_id& id : waiting) {
    ProcessEvent(id, flush_event{});
  }
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
typename ledger_service<Store, Clock, Wall>::stripe&
ledger_service<Store, Clock, Wall>::StripeFor(const shard_id& aShard)
{
  const auto number = static_cast<std::uint64_t>(aShard.slice) * kShardsPerSlice + aShard.shard;
  return mStripes[number % kStripes];
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
ledger_shard&
ledger_service<Store, Clock, Wall>::FindOrCreateShard(stripe& aStripe, const shard_id& aShard)
{
  const auto found = aStripe.shards.find(aShard);
  if (found != aStripe.shards.end()) {
    return found->second;
  }
  const auto number = static_cast<std::uint64_t>(aShard.slice) * kShardsPerSlice + aShard.shard;
  const random_source random(mSettings.seed ^ number);
  return aStripe.shards.emplace(aShard, ledger_shard(mSettings.commitPolicy, random)).first->second;
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::EvictIdleShards(stripe& aStripe, time_point aNow)
{
  std::erase_if(aStripe.shards, [&](const auto& aEntry) {
    const ledger_shard& shard = aEntry.second;
    return shard.IsIdle() && aNow - shard.LastEventTime() > kIdleShardRetention;
  });
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
std::optional<parsed_key>
ledger_service<Store, Clock, Wall>::ValidateKey(const begin_request& aRequest,
                                                begin_result& aRefusal) const
{
  key_reason parseError;
  auto key = ParseKey(aRequest.key, parseError);
  if (!key) {
    // No router accepts such a key, so no call under it was ever executed.
    aRefusal = { begin_verdict::bad_key, execution_status::not_executed, {}, {} };
    return std::nullopt;
  }
  const key_error age = CheckKeyAge(*key, mWall.Now());
  if (age == key_error::none) {
    return key;
  }
  const bool tooOld = age == key_error::too_old;
  aRefusal.verdict = tooOld ? begin_verdict::key_too_old : begin_verdict::key_in_future;
  aRefusal.execution = execution_status::unknown;
  return std::nullopt;
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Refuse(const waiting_caller& aCaller,
                                           const begin_result& aResult)
{
  DeliverReply(aCaller, { aResult, {} });
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::ProcessEvent(const shard_id& aShard, const shard_event& aEvent)
{
  stripe& shardStripe = StripeFor(aShard);
  std::vector<shard_action> actions;
  {
    const std::lock_guard lock(shardStripe.mutex);
    const time_point now = mClock.Now();
    ledger_shard& shard = FindOrCreateShard(shardStripe, aShard);
    const std::size_t before = shard.WaitingCloses();
    actions = shard.Handle(aEvent, now);
    mWaitingCloses += shard.WaitingCloses() - before;
    if (++shardStripe.handledEvents % kEventsPerEviction == 0) {
      EvictIdleShards(shardStripe, now);
    }
  }
  Perform(aShard, std::move(actions));
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Perform(const shard_id& aShard,
                                            std::vector<shard_action> aActions)
{
  for (shard_action& action : aActions) {
    if (std::holds_alternative<read_action>(action)) {
      mJobs.Push([this, aShard](Store& aStore) { Read(aStore, aShard); });
    } else if (auto* write = std::get_if<write_action>(&action)) {
      mMetrics.Count(kIntentsWrittenTotal, {}, static_cast<double>(write->intents));
      mJobs.Push(
        [this, aShard, call = std::move(*write)](Store& aStore) { Write(aStore, aShard, call); });
    } else if (const auto* verdict = std::get_if<verdict_action>(&action)) {
      Perform(aShard, *verdict);
    } else if (const auto* wake = std::get_if<wake_action>(&action)) {
      mTimers->Add(wake->at, [this, aShard] { ProcessEvent(aShard, tick_event{}); });
    } else if (const auto* unreadable = std::get_if<unreadable_action>(&action)) {
      WriteLog(
        kObjectUnreadable,
        { { "object", ShardObjectKey(aShard).name }, { "detail", unreadable->parseError.detail } });
    } else if (const auto* dropped = std::get_if<dropped_close_action>(&action)) {
      Perform(aShard, *dropped);
    }
  }
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Perform(const shard_id& aShard, const verdict_action& aAction)
{
  stripe& shardStripe = StripeFor(aShard);
  std::optional<waiting_caller> caller;
  {
    const std::lock_guard lock(shardStripe.mutex);
    auto entry = shardStripe.callers.extract(aAction.attempt);
    if (!entry.empty()) {
      caller = std::move(entry.mapped());
    }
  }
  if (!caller) {
    return;
  }
  begin_reply reply{ aAction.result, {} };
  if (reply.result.verdict == begin_verdict::granted) {
    reply.permit = caller->permit;
  }
  if (reply.result.verdict == begin_verdict::in_progress && caller->keyAge > kMaxCallDuration) {
    reply.result = { begin_verdict::unknown, execution_status::unknown, {}, {} };
  }
  DeliverReply(*caller, reply);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Perform(const shard_id& aShard,
                                            const dropped_close_action& aAction)
{
  WriteLog(kCloseDropped,
           { { "object", ShardObjectKey(aShard).name },
             { "attempt", fmt::format("{}", aAction.attempt.number) } });
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::DeliverReply(const waiting_caller& aCaller,
                                                 const begin_reply& aReply)
{
  const char* verdict = VerdictName(aReply.result.verdict);
  const duration elapsed = mClock.Now() - aCaller.startedAt;
  constexpr double kMsPerSecond = 1000;
  mMetrics.Count(kBeginsTotal, { { "verdict", verdict } });
  mMetrics.Observe(kBeginSeconds, static_cast<double>(elapsed.ms) / kMsPerSecond);
  WriteLog(aReply.permit ? kIntentCommitted : kBeginRefused,
           { { "verdict", verdict },
             { "record", aCaller.permit.record.value },
             { "attempt", fmt::format("{}", aCaller.permit.attempt.number) },
             { "ms", fmt::format("{}", elapsed.ms) } });
  aCaller.onReply(aReply);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::ProcessSweepEvent(const sweep_event& aEvent)
{
  std::vector<sweep_action> actions;
  {
    const std::lock_guard lock(mSweepMutex);
    actions = mSweep.Handle(aEvent, mClock.Now(), mWall.Now());
  }
  for (const sweep_action& action : actions) {
    Perform(action);
  }
  AdmitWaitingCalls();
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Perform(const sweep_action& aAction)
{
  if (std::holds_alternative<sweep_read>(aAction)) {
    mJobs.Push([this](Store& aStore) { ReadSweep(aStore); });
  } else if (const auto* write = std::get_if<sweep_write>(&aAction)) {
    mJobs.Push([this, call = *write](Store& aStore) { WriteSweep(aStore, call); });
  } else if (const auto* deletion = std::get_if<delete_slice>(&aAction)) {
    mJobs.Push([this, slice = deletion->slice](Store& aStore) { DeleteSlice(aStore, slice); });
  } else if (const auto* wake = std::get_if<sweep_wake>(&aAction)) {
    mTimers->Add(wake->at, [this] { ProcessSweepEvent(sweep_tick{}); });
  }
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::RunStoreThread(Store aStore)
{
  while (const auto job = mJobs.Pop()) {
    (*job)(aStore);
  }
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Read(Store& aStore, const shard_id& aShard)
{
  const platform::object_key key = ShardObjectKey(aShard);
  read_event result;
  result.object = aStore.Get(key);
  if (!result.object) {
    result.error = aStore.LastFailure().code;
  }
  RecordStoreCall("read", result.error, key);
  ProcessEvent(aShard, result);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::Write(Store& aStore,
                                          const shard_id& aShard,
                                          const write_action& aWrite)
{
  const platform::object_key key = ShardObjectKey(aShard);
  write_event result;
  result.version = aStore.Put(key, aWrite.value, aWrite.condition);
  if (!result.version) {
    result.error = aStore.LastFailure().code;
  }
  RecordStoreCall("write", result.error, key);
  ProcessEvent(aShard, result);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::ReadSweep(Store& aStore)
{
  sweep_read_done result;
  result.object = aStore.Get(SweepObjectKey());
  if (!result.object) {
    result.error = aStore.LastFailure().code;
  }
  RecordStoreCall("sweep_read", result.error, SweepObjectKey());
  ProcessSweepEvent(result);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::WriteSweep(Store& aStore, const sweep_write& aWrite)
{
  sweep_write_done result;
  result.version = aStore.Put(SweepObjectKey(), aWrite.value, aWrite.condition);
  if (!result.version) {
    result.error = aStore.LastFailure().code;
  }
  RecordStoreCall("sweep_write", result.error, SweepObjectKey());
  ProcessSweepEvent(result);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::DeleteSlice(Store& aStore, std::int64_t aSlice)
{
  delete_slice_done result{ aSlice, true };
  for (std::uint32_t shard = 0; shard < kShardsPerSlice; ++shard) {
    const bool objectDeleted = DeleteObject(aStore, ShardObjectKey({ aSlice, shard }));
    result.complete = result.complete && objectDeleted;
  }
  WriteLog(kSliceDropped,
           { { "slice", fmt::format("{}", aSlice) }, { "gone", result.complete ? "yes" : "no" } });
  ProcessSweepEvent(result);
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
bool
ledger_service<Store, Clock, Wall>::DeleteObject(Store& aStore, const platform::object_key& aKey)
{
  const auto object = aStore.Get(aKey);
  const bool deleted = object && aStore.Delete(aKey, object->version);
  const platform::store_error error = aStore.LastFailure().code;
  RecordStoreCall("drop", error, aKey);
  return deleted || error == platform::store_error::not_found;
}

template<platform::object_store Store, clock_source Clock, clock_source Wall>
void
ledger_service<Store, Clock, Wall>::RecordStoreCall(const char* aKind,
                                                    platform::store_error aError,
                                                    const platform::object_key& aKey)
{
  const char* name = platform::StoreErrorName(aError);
  mMetrics.Count(kStoreCallsTotal, { { "kind", aKind }, { "result", name } });
  mMetrics.Set(kWaitingCloses, static_cast<double>(mWaitingCloses));
  const bool expectedResult = aError == platform::store_error::none ||
                              aError == platform::store_error::not_found ||
                              aError == platform::store_error::conflict;
  if (!expectedResult) {
    WriteLog(kStoreCallFailed, { { "object", aKey.name }, { "call", aKind }, { "error", name } });
  }
}

} // namespace persimmon::ledger
