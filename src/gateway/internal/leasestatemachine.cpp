#include "gateway/leasestatemachine.h"

#include "base/random.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace persimmon::gateway {

namespace {

/// Part of a processor with which a process acquires the lease without delay, and the delay of one
/// with nearly none. The others read the lease every 0.4 s.
constexpr double kFullQuota = 0.25;
constexpr duration kMaxAcquireDelay = 1500_ms;

} // namespace

duration
AcquireDelay(double aProcessorQuota)
{
  if (aProcessorQuota <= 0 || aProcessorQuota >= kFullQuota) {
    return {};
  }
  const double missing = 1 - aProcessorQuota / kFullQuota;
  return { static_cast<std::int64_t>(missing * static_cast<double>(kMaxAcquireDelay.ms)) };
}

std::string
SerializeLease(const lease_value& aValue)
{
  return nlohmann::json{
    { "holder", aValue.holder.value },
    { "token", aValue.token.value },
    { "renewals", aValue.renewals }
  }.dump();
}

lease_value
ParseLease(const std::string& aText)
{
  const nlohmann::json parsed = nlohmann::json::parse(aText, nullptr, false);
  lease_value value;
  if (!parsed.is_object()) {
    return value;
  }
  const auto holder = parsed.find("holder");
  const auto token = parsed.find("token");
  const auto renewals = parsed.find("renewals");
  if (holder != parsed.end() && holder->is_string()) {
    value.holder = { holder->get<std::string>() };
  }
  if (token != parsed.end() && token->is_number_unsigned()) {
    value.token = { token->get<std::uint64_t>() };
  }
  if (renewals != parsed.end() && renewals->is_number_unsigned()) {
    value.renewals = renewals->get<std::uint64_t>();
  }
  return value;
}

lease_state_machine::lease_state_machine(router_id aSelf, lease_timing aTiming, std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
  random_source random(aSeed);
  mJitter = { static_cast<std::int64_t>(
    random.Below(static_cast<std::uint64_t>(aTiming.pollInterval.ms) + 1)) };
}

bool
lease_state_machine::IsHolder(time_point aNow) const
{
  return mRenewedAt && aNow - *mRenewedAt < mTiming.holderValidity;
}

bool
lease_state_machine::IsExpired(time_point aNow) const
{
  if (mMissing || mLease.holder.Empty()) {
    return aNow >= mAcquireNotBefore && mVacantSince &&
           aNow - *mVacantSince >= mTiming.acquireDelay;
  }
  return aNow - mUnchangedSince >= mTiming.expiry + mTiming.acquireDelay;
}

void
lease_state_machine::OnEra(platform::store_era aEra, time_point aNow)
{
  if (mEra == aEra) {
    return;
  }
  mTokenFloor = { std::max(mTokenFloor.value, aEra.value * kTokensPerEra) };
  if (mEra) {
    mTokenFloor = std::max(mTokenFloor, mLease.token);
    mLease = {};
    mVersion.reset();
    mMissing = false;
    mVacantSince.reset();
    mHasRead = false;
    mLastReadExact = false;
    mRenewedAt.reset();
    mUnresolvedWriteAt.reset();
    mAcquireNotBefore = aNow + mTiming.expiry;
    mNextActionAt = aNow + mJitter;
  }
  mEra = aEra;
  mEraSince = aNow;
}

lease_step
lease_state_machine::NextStep(time_point aNow)
{
  lease_step step;
  if (mRenewedAt && aNow - *mRenewedAt >= mTiming.expiry) {
    mRenewedAt.reset();
    mLastReadExact = false;
  }
  if (mRenewedAt && mLastReadExact) {
    if (aNow - *mRenewedAt >= mTiming.renewInterval && aNow >= mNextActionAt) {
      step.action = lease_step::action_kind::write;
      step.value = { mSelf, mLease.token, mLease.renewals + 1 };
      step.expected = mVersion;
    }
    return step;
  }
  if (aNow < mNextActionAt) {
    return step;
  }
  if (!mHasRead || !IsExpired(aNow)) {
    step.action = mHasRead ? lease_step::action_kind::read_stale_ok : lease_step::action_kind::read;
    return step;
  }
  if (!mLastReadExact) {
    step.action = lease_step::action_kind::read;
    return step;
  }
  step.action = lease_step::action_kind::write;
  step.value = { mSelf, std::max(mLease.token, mTokenFloor).Next(), 0 };
  step.expected = mVersion;
  return step;
}

void
lease_state_machine::OnRead(const lease_value& aValue,
                            revision aVersion,
                            bool aAllowStale,
                            time_point aNow)
{
  mHasRead = true;
  mTokenFloor = std::max(mTokenFloor, aValue.token);
  mNextActionAt = aNow + mTiming.pollInterval;
  const bool older = mVersion && aVersion < *mVersion;
  if (older) {
    return;
  }
  const bool changed = !mVersion || aVersion != *mVersion || mMissing;
  // A write of this process succeeded, but its response was lost.
  const bool ownWriteApplied = changed && mUnresolvedWriteAt && aValue.holder == mSelf;
  mMissing = false;
  mLease = aValue;
  mVacantSince = aValue.holder.Empty() ? std::optional(mVacantSince.value_or(aNow)) : std::nullopt;
  mVersion = aVersion;
  mLastReadExact = !aAllowStale;
  if (changed) {
    mUnchangedSince = aNow;
    mRenewedAt = ownWriteApplied ? mUnresolvedWriteAt : std::nullopt;
  }
  if (mLastReadExact) {
    mUnresolvedWriteAt.reset();
  }
  if (mRenewedAt || IsExpired(aNow)) {
    mNextActionAt = aNow + (mLastReadExact ? duration{} : mJitter);
  }
}

void
lease_state_machine::OnMissing(bool aAllowStale, time_point aNow)
{
  mHasRead = true;
  mMissing = true;
  mLease = {};
  mVacantSince = mVacantSince.value_or(aNow);
  mVersion.reset();
  mLastReadExact = !aAllowStale;
  const duration untilAcquired = mLastReadExact ? duration{} : mJitter;
  mNextActionAt = aNow + (IsExpired(aNow) ? untilAcquired : mTiming.pollInterval);
}

void
lease_state_machine::OnReadFailed(time_point aNow)
{
  mNextActionAt = aNow + mTiming.retryDelay + mJitter;
}

void
lease_state_machine::OnWritten(const lease_value& aValue,
                               revision aVersion,
                               time_point aRequestedAt)
{
  mLease = aValue;
  mVacantSince = aValue.holder.Empty() ? std::optional(aRequestedAt) : std::nullopt;
  mVersion = aVersion;
  mMissing = false;
  mLastReadExact = true;
  mUnresolvedWriteAt.reset();
  mUnchangedSince = aRequestedAt;
  if (aValue.holder == mSelf) {
    mRenewedAt = aRequestedAt;
  }
}

void
lease_state_machine::OnWriteFailed(platform::store_error aError,
                                   time_point aRequestedAt,
                                   time_point aNow)
{
  // A write of a former era that took effect in this one met another object by chance.
  const bool ofThisEra = aRequestedAt >= mEraSince;
  if (aError == platform::store_error::unknown_outcome && ofThisEra && !mUnresolvedWriteAt) {
    mUnresolvedWriteAt = aRequestedAt;
  }
  // Whatever its outcome, the next write must be based on a new read.
  mLastReadExact = false;
  mHasRead = false;
  mNextActionAt =
    aNow + (aError == platform::store_error::conflict ? duration{} : mTiming.retryDelay);
}

std::optional<lease_step>
lease_state_machine::Release(time_point aNow)
{
  if (!IsHolder(aNow) || !mVersion) {
    return std::nullopt;
  }
  mRenewedAt.reset();
  lease_step release;
  release.action = lease_step::action_kind::write;
  release.value = { {}, mLease.token, mLease.renewals + 1 };
  release.expected = mVersion;
  return release;
}

} // namespace persimmon::gateway
