#include "dispatch/callupstreams.h"

#include "dispatch/internal/instanceids.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Time for which a call is not sent again to an upstream that accepted no connection or refused
/// it.
constexpr duration kAvoidTime = 600_ms;

} // namespace

void
call_upstreams::RecordSend(const instance_id& aUpstream, std::optional<time_point> aPermitAt)
{
  const bool isFirst = !Contains(mAsked, aUpstream);
  if (isFirst) {
    mAsked.push_back(aUpstream);
  }
  mInFlight.push_back({ aUpstream, aPermitAt, isFirst });
  ++mSendCount;
}

std::optional<time_point>
call_upstreams::UndoSend(const instance_id& aUpstream)
{
  const auto found = std::find_if(mInFlight.begin(), mInFlight.end(), [&](const send& aSend) {
    return aSend.upstream == aUpstream;
  });
  if (found == mInFlight.end()) {
    return std::nullopt;
  }
  const send undone = *found;
  mInFlight.erase(found);
  if (undone.isFirst) {
    std::erase(mAsked, undone.upstream);
  }
  --mSendCount;
  return undone.permitAt;
}

void
call_upstreams::Release(const instance_id& aUpstream)
{
  std::erase_if(mInFlight, [&](const send& aSend) { return aSend.upstream == aUpstream; });
}

void
call_upstreams::Avoid(const instance_id& aUpstream, time_point aNow)
{
  std::erase_if(mAvoided, [&](const avoided_upstream& aEach) {
    return aEach.upstream == aUpstream || aEach.until <= aNow;
  });
  mAvoided.push_back({ aUpstream, aNow + kAvoidTime });
}

void
call_upstreams::Exclude(const instance_id& aUpstream)
{
  if (!Contains(mExcluded, aUpstream)) {
    mExcluded.push_back(aUpstream);
  }
}

void
call_upstreams::Restrict(selection_request& aRequest, time_point aNow) const
{
  aRequest.excluded = mExcluded;
  for (const send& sent : mInFlight) {
    aRequest.excluded.push_back(sent.upstream);
  }
  for (const avoided_upstream& avoided : mAvoided) {
    if (avoided.until > aNow) {
      aRequest.excluded.push_back(avoided.upstream);
    }
  }
  if (MayAskNoOther()) {
    aRequest.onlyAmong = mAsked;
  }
}

bool
call_upstreams::IsExhausted() const
{
  return MayAskNoOther() &&
         std::all_of(mAsked.begin(), mAsked.end(), [this](const instance_id& aAsked) {
           return Contains(mExcluded, aAsked);
         });
}

} // namespace persimmon::dispatch
