#include "dispatch/permitbucket.h"

#include <algorithm>
#include <cmath>

namespace persimmon::dispatch {

double
permit_bucket::Permits(time_point aNow) const
{
  const double elapsedSeconds =
    static_cast<double>(std::max<std::int64_t>((aNow - mUpdatedAt).ms, 0)) / 1000;
  return std::min(mPermits + elapsedSeconds * mShare.permitsPerSecond, mShare.maxPermits);
}

void
permit_bucket::SetShare(const rate_limit_share& aShare, time_point aNow)
{
  const bool hadShare = mShare.permitsPerSecond > 0;
  mPermits = hadShare ? std::min(Permits(aNow), aShare.maxPermits) : 0;
  mUpdatedAt = aNow;
  mShare = aShare;
}

bool
permit_bucket::HasPermit(time_point aNow) const
{
  return Permits(aNow) >= 1;
}

std::optional<duration>
permit_bucket::TimeToNextPermit(time_point aNow) const
{
  if (mShare.permitsPerSecond <= 0) {
    return std::nullopt;
  }
  const double missing = std::max(1 - Permits(aNow), 0.0);
  return duration{ static_cast<std::int64_t>(std::ceil(missing * 1000 / mShare.permitsPerSecond)) };
}

void
permit_bucket::Take(time_point aNow)
{
  mPermits = Permits(aNow) - 1;
  mUpdatedAt = aNow;
}

} // namespace persimmon::dispatch
