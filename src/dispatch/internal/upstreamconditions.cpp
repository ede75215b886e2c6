#include "dispatch/upstreamconditions.h"

#include "base/hash.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Part of a pause by which a router adds to it, and the most that it adds, so that the routers do
/// not all come back at its end.
constexpr std::int64_t kSpreadDivisor = 10;
constexpr duration kMaxSpread = 500_ms;

} // namespace

upstream_conditions::upstream_conditions(router_id aSelf,
                                         fleet::fleet_view& aFleet,
                                         upstream_stats_table& aStats)
  : mSelf(std::move(aSelf))
  , mFleet(aFleet)
  , mStats(aStats)
  , mLimits(mSelf)
{
}

duration
upstream_conditions::SpreadPause(const instance_id& aUpstream, duration aPause) const
{
  // The same part for each response: of several pauses the latest end counts, and the largest of
  // several random parts would be about the same for all routers.
  const std::uint64_t hash = HashText(aUpstream.value, HashText(mSelf.value));
  const duration range = std::min(aPause / kSpreadDivisor, kMaxSpread);
  const auto extraMs = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(range.ms + 1));
  return std::min(aPause + duration{ extraMs }, kMaxPause);
}

condition_changes
upstream_conditions::Record(const statement_observation& aObservation, time_point aNow)
{
  const upstream_statements& statements = aObservation.statements;
  const instance_id& upstream = aObservation.upstream;
  condition_changes changes;
  if (statements.load) {
    mStats.RecordReportedLoad(upstream, *statements.load, aNow);
  }
  RecordLimit(aObservation, aNow, changes);
  if (statements.isLeaving && mFleet.MarkLeaving(upstream, aObservation.incarnationId)) {
    changes.leaving = peers::leaving_message{ upstream, aObservation.incarnationId };
  }
  if (statements.pause && aObservation.isUnavailable) {
    changes.pause = SpreadPause(upstream, *statements.pause);
    mPauses.Record(upstream, aObservation.incarnationId, *changes.pause, aNow);
  }
  return changes;
}

void
upstream_conditions::RecordLimit(const statement_observation& aObservation,
                                 time_point aNow,
                                 condition_changes& aChanges)
{
  limit_observation observed;
  observed.upstream = aObservation.upstream;
  observed.incarnationId = aObservation.incarnationId;
  observed.limit = aObservation.statements.rateLimit;
  // A limit that cannot be read is a limit still.
  observed.executed = aObservation.executed && !aObservation.statements.hasUnreadableLimit;
  observed.sentAt = aObservation.sentAt;
  const auto former = mLimits.Find(aObservation.upstream);
  aChanges.limit = mLimits.RecordResponse(observed, aNow);
  aChanges.limitChanged =
    aChanges.limit &&
    aChanges.limit->limit != (former ? std::optional(former->limit) : std::nullopt);
}

bool
upstream_conditions::Apply(const peers::leaving_message& aMessage)
{
  return mFleet.MarkLeaving(aMessage.instance, aMessage.incarnationId);
}

bool
upstream_conditions::Apply(const peers::rate_limit_message& aMessage, time_point aNow)
{
  return mLimits.Apply(aMessage, aNow);
}

void
upstream_conditions::Update(time_point aNow)
{
  mLimits.Update(aNow);
  mPauses.Prune(aNow);
}

bool
upstream_conditions::HasPermit(const fleet::instance& aUpstream, time_point aNow) const
{
  return mLimits.MaySend(aUpstream.id, aUpstream.incarnationId, aNow);
}

std::optional<duration>
upstream_conditions::TimeToNextPermit(const fleet::instance& aUpstream, time_point aNow) const
{
  return mLimits.TimeToNextPermit(aUpstream.id, aUpstream.incarnationId, aNow);
}

std::optional<duration>
upstream_conditions::RemainingPause(const fleet::instance& aUpstream, time_point aNow) const
{
  return mPauses.Remaining(aUpstream.id, aUpstream.incarnationId, aUpstream.mayHaveBegunAt, aNow);
}

} // namespace persimmon::dispatch
