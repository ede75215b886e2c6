#include "gateway/leaserules.h"

#include "base/random.h"

#include <nlohmann/json.hpp>

namespace persimmon::gateway {

std::string
RenderLease(const lease_value& aValue)
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

lease_rules::lease_rules(router_id aSelf, lease_times aTimes, std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mTimes(aTimes)
{
  random_source random(aSeed);
  mSpread = { static_cast<std::int64_t>(
    random.Below(static_cast<std::uint64_t>(aTimes.look.ms) + 1)) };
}

bool
lease_rules::Holds(time_point aNow) const
{
  return mRenewedAt && aNow - *mRenewedAt < mTimes.trust;
}

bool
lease_rules::Lapsed(time_point aNow) const
{
  return mMissing || mKnown.holder.Empty() || aNow - mUnchangedSince >= mTimes.lifetime;
}

lease_step
lease_rules::Next(time_point aNow)
{
  lease_step step;
  if (mRenewedAt && aNow - *mRenewedAt >= mTimes.lifetime) {
    mRenewedAt.reset();
    mExact = false;
  }
  if (mRenewedAt && mExact) {
    if (aNow - *mRenewedAt >= mTimes.renew && aNow >= mLookAt) {
      step.what = lease_step::kind::write;
      step.value = { mSelf, mKnown.token, mKnown.renewals + 1 };
      step.expected = mVersion;
    }
    return step;
  }
  if (aNow < mLookAt) {
    return step;
  }
  if (!mSeen || !Lapsed(aNow)) {
    step.what = mSeen ? lease_step::kind::read_cheap : lease_step::kind::read;
    return step;
  }
  if (!mExact) {
    step.what = lease_step::kind::read;
    return step;
  }
  step.what = lease_step::kind::write;
  step.value = { mSelf, mKnown.token.Next(), 0 };
  step.expected = mVersion;
  return step;
}

void
lease_rules::Seen(const lease_value& aValue, revision aVersion, bool aCheap, time_point aNow)
{
  mSeen = true;
  mLookAt = aNow + mTimes.look;
  const bool older = mVersion && aVersion < *mVersion;
  if (older) {
    return;
  }
  const bool changed = !mVersion || aVersion != *mVersion || mMissing;
  // An own write whose answer was lost.
  const bool landed = changed && mUnsettledSince && aValue.holder == mSelf;
  mMissing = false;
  mKnown = aValue;
  mVersion = aVersion;
  mExact = !aCheap;
  if (changed) {
    mUnchangedSince = aNow;
    mRenewedAt = landed ? mUnsettledSince : std::nullopt;
  }
  if (mExact) {
    mUnsettledSince.reset();
  }
  if (mRenewedAt || Lapsed(aNow)) {
    mLookAt = aNow + (mExact ? duration{} : mSpread);
  }
}

void
lease_rules::SeenMissing(bool aCheap, time_point aNow)
{
  mSeen = true;
  mMissing = true;
  mKnown = {};
  mVersion.reset();
  mExact = !aCheap;
  mLookAt = aNow + (mExact ? duration{} : mSpread);
}

void
lease_rules::NotRead(time_point aNow)
{
  mLookAt = aNow + mTimes.lookAgain + mSpread;
}

void
lease_rules::Written(const lease_value& aValue, revision aVersion, time_point aAsked)
{
  mKnown = aValue;
  mVersion = aVersion;
  mMissing = false;
  mExact = true;
  mUnsettledSince.reset();
  mUnchangedSince = aAsked;
  if (aValue.holder == mSelf) {
    mRenewedAt = aAsked;
  }
}

void
lease_rules::NotWritten(platform::store_error aError, time_point aAsked, time_point aNow)
{
  if (aError == platform::store_error::unknown_outcome && !mUnsettledSince) {
    mUnsettledSince = aAsked;
  }
  // Whatever became of it, the next write builds on a fresh look.
  mExact = false;
  mSeen = false;
  mLookAt = aNow + (aError == platform::store_error::conflict ? duration{} : mTimes.lookAgain);
}

std::optional<lease_step>
lease_rules::Resign(time_point aNow)
{
  if (!Holds(aNow) || !mVersion) {
    return std::nullopt;
  }
  mRenewedAt.reset();
  lease_step last;
  last.what = lease_step::kind::write;
  last.value = { {}, mKnown.token, mKnown.renewals + 1 };
  last.expected = mVersion;
  return last;
}

} // namespace persimmon::gateway
