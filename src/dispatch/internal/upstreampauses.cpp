#include "dispatch/upstreampauses.h"

#include <algorithm>

namespace persimmon::dispatch {

void
upstream_pauses::Record(const instance_id& aUpstream,
                        incarnation aIncarnation,
                        duration aPause,
                        time_point aNow)
{
  const time_point until = aNow + std::min(aPause, kMaxPause);
  pause& known = mPauses.try_emplace(aUpstream, pause{ aIncarnation, aNow, until }).first->second;
  const bool isLonger = aIncarnation == known.incarnationId && until > known.until;
  if (aIncarnation > known.incarnationId || isLonger) {
    known = { aIncarnation, aNow, until };
  }
}

std::optional<duration>
upstream_pauses::Remaining(const instance_id& aUpstream,
                           incarnation aIncarnation,
                           time_point aMayHaveBegunAt,
                           time_point aNow) const
{
  const auto found = mPauses.find(aUpstream);
  if (found == mPauses.end() || aNow >= found->second.until) {
    return std::nullopt;
  }
  const pause& known = found->second;
  const bool mayHaveAsked = aIncarnation > known.incarnationId && aMayHaveBegunAt <= known.askedAt;
  const bool holds = aIncarnation == known.incarnationId || mayHaveAsked;
  return holds ? std::optional(known.until - aNow) : std::nullopt;
}

void
upstream_pauses::Prune(time_point aNow)
{
  std::erase_if(mPauses, [aNow](const auto& aEntry) { return aEntry.second.until <= aNow; });
}

} // namespace persimmon::dispatch
