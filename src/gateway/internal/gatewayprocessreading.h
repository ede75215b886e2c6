#pragma once

// Definitions of the class template in gateway/gatewayprocess.h: who reads the store.

namespace persimmon::gateway {
namespace process_limits {

/// Age of a waiting call at which a process that begins to read makes another one: the connection
/// of the former may be silent.
constexpr duration kMaxWaitingCallAge = 10_s;
/// Difference between two clocks from which on this process was suspended.
constexpr duration kMinSuspension = 500_ms;

} // namespace process_limits

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnInstancesRead(revision aUpTo)
{
  mLastRead = { aUpTo, mContext.Now() };
  mReading.OnPosition(mLastRead.asOf);
  // While this process starts, what it has read is not published.
  mMesh.SetStorePosition(mLastRead, !mContext.starting);
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnStorePosition(const peers::store_position& aPosition)
{
  if (platform::EraOf(aPosition.upTo) != platform::EraOf(mInstances.Revision())) {
    // The response shows the store's era to this process as well.
    mConfigWatch->RenewCall(process_limits::kMaxWaitingCallAge);
  }
  mReading.OnPosition(aPosition.asOf);
  mInstances.AdvanceTo(aPosition.upTo);
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::MustRead(time_point aNow) const
{
  return mContext.starting || mLease.IsHolder() || mReading.MustRead(aNow);
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::LogReading(time_point aNow) const
{
  const duration age = mReading.Age(aNow);
  WriteLog(kStoreReadingChanged,
           { { "reads", mReads ? "true" : "false" },
             { "chosen", mReading.IsChosen() ? "true" : "false" },
             { "holder", mLease.IsHolder() ? "true" : "false" },
             { "readers", std::to_string(mReading.ReaderCount()) },
             { "gateways", std::to_string(mReading.LiveCount()) },
             { "age_ms", age < kMaxLongPollTimeout ? std::to_string(age.ms) : "none" } });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::UpdateReading()
{
  const time_point now = mContext.Now();
  const duration suspendedFor = boot_clock().Now() - steady_clock().Now();
  if (suspendedFor - mSuspendedFor > process_limits::kMinSuspension) {
    mReading.OnSuspended();
  }
  mSuspendedFor = suspendedFor;
  const bool reads = MustRead(now);
  const bool hasChanged = reads != mReads;
  mReads = reads;
  mInstances.SetResting(!reads);
  mLease.SetCandidate(reads);
  if (hasChanged) {
    LogReading(now);
    mMetrics.Set(kStoreReader, reads ? 1 : 0);
    const duration longPoll =
      reads ? LongPollTimeout(mSettings.storeSilenceTimeout) : kMaxLongPollTimeout;
    mConfigWatch->SetLongPollTimeout(longPoll);
    mEvacuations.SetLongPollTimeout(longPoll);
  }
  if (hasChanged && reads) {
    mConfigWatch->RenewCall(process_limits::kMaxWaitingCallAge);
    mEvacuations.RenewCall(process_limits::kMaxWaitingCallAge);
  }
}

} // namespace persimmon::gateway
