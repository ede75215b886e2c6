#include "dispatch/upstreamratelimits.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Time after the latest statement of a limit within which a call must not have been sent for its
/// response to end the limit: responses overtake each other, and an upstream at its limit may state
/// it in some responses only.
constexpr duration kMinTimeToEnd = 1_s;

} // namespace

upstream_rate_limits::upstream_rate_limits(router_id aSelf)
  : mRouters(std::move(aSelf))
{
}

void
upstream_rate_limits::OnRoutersChanged(time_point aNow)
{
  for (auto& [upstream, known] : mEntries) {
    known.rank = mRouters.RankFor(upstream.value);
    UpdateShare(known, aNow);
  }
}

void
upstream_rate_limits::UpdateShare(entry& aEntry, time_point aNow) const
{
  rate_limit_share share;
  if (aEntry.limit && mRouters.HasSettled(aNow)) {
    const rate_limit_plan plan = PlanRateLimit(*aEntry.limit, mRouters.Count());
    const duration silence = aNow - aEntry.lastStatedAt;
    share = HoldsShare(plan, aEntry.rank, mRouters.Count(), silence) ? plan.share : share;
  }
  aEntry.permits.SetShare(share, aNow);
  rate_limit_share coldShare;
  if (aEntry.coldUntil > aNow && mRouters.HasSettled(aNow)) {
    const rate_limit_plan plan = PlanWarmup(aEntry.coldRate, mRouters.Count());
    coldShare = HoldsShare(plan, aEntry.rank, mRouters.Count(), {}) ? plan.share : coldShare;
  }
  aEntry.coldPermits.SetShare(coldShare, aNow);
}

void
upstream_rate_limits::RecordWarmup(const instance_id& aUpstream,
                                   incarnation aIncarnation,
                                   const upstream_warmup& aWarmup,
                                   time_point aNow)
{
  const bool isWarm = aWarmup.remaining.ms <= 0 || aWarmup.rate.PerSecond() <= 0;
  if (isWarm && mEntries.count(aUpstream) == 0) {
    return;
  }
  entry* known = EntryOf(aUpstream, aIncarnation);
  if (known == nullptr || known->statedWarmup == aWarmup.remaining) {
    return;
  }
  known->statedWarmup = aWarmup.remaining;
  known->coldUntil = isWarm ? aNow : aNow + aWarmup.remaining;
  known->coldRate = aWarmup.rate;
  UpdateShare(*known, aNow);
}

bool
upstream_rate_limits::IsCold(const instance_id& aUpstream,
                             incarnation aIncarnation,
                             time_point aNow) const
{
  const entry* known = FindKnown(aUpstream, aIncarnation);
  return known != nullptr && known->coldUntil > aNow;
}

std::size_t
upstream_rate_limits::ColdCount(time_point aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [aNow](const auto& aEntry) {
      return aEntry.second.coldUntil > aNow;
    }));
}

void
upstream_rate_limits::Update(time_point aNow)
{
  std::erase_if(mEntries, [aNow](const auto& aEntry) {
    const time_point lastUsedAt = std::max(aEntry.second.lastStatedAt, aEntry.second.coldUntil);
    return aNow - lastUsedAt > kLimitRetention;
  });
  for (auto& [upstream, known] : mEntries) {
    UpdateShare(known, aNow);
  }
}

upstream_rate_limits::entry*
upstream_rate_limits::EntryOf(const instance_id& aUpstream, incarnation aIncarnation)
{
  const auto [position, added] = mEntries.try_emplace(aUpstream);
  entry& found = position->second;
  if (!added && found.incarnationId > aIncarnation) {
    return nullptr;
  }
  if (added || found.incarnationId < aIncarnation) {
    found = {};
    found.incarnationId = aIncarnation;
    found.rank = mRouters.RankFor(aUpstream.value);
  }
  return &found;
}

bool
upstream_rate_limits::MergeLimit(entry& aEntry,
                                 const limit_observation& aObservation,
                                 time_point aNow)
{
  const bool isLower = aEntry.limit && *aObservation.limit <= *aEntry.limit;
  // A higher limit counts only when the call was sent after the present one was last stated.
  const bool isLater = !aEntry.limit || aObservation.sentAt >= aEntry.limitStatedAt;
  if (!isLower && !isLater) {
    return false;
  }
  const bool changed = aEntry.limit != aObservation.limit;
  aEntry.limit = aObservation.limit;
  aEntry.limitStatedAt = aNow;
  return changed;
}

bool
upstream_rate_limits::EndsLimit(const entry& aEntry, const limit_observation& aObservation)
{
  return aEntry.limit && aObservation.executed &&
         aObservation.sentAt >= aEntry.lastStatedAt + kMinTimeToEnd;
}

std::optional<peers::rate_limit_message>
upstream_rate_limits::RecordResponse(const limit_observation& aObservation, time_point aNow)
{
  const bool isKnown = mEntries.count(aObservation.upstream) != 0;
  if (!aObservation.limit && !isKnown) {
    return std::nullopt;
  }
  entry* known = EntryOf(aObservation.upstream, aObservation.incarnationId);
  if (known == nullptr) {
    return std::nullopt;
  }
  bool changed = false;
  if (aObservation.limit) {
    changed = MergeLimit(*known, aObservation, aNow);
    known->lastStatedAt = aNow;
  } else if (EndsLimit(*known, aObservation)) {
    known->limit.reset();
    known->lastStatedAt = aNow;
    changed = true;
  } else {
    return std::nullopt;
  }
  UpdateShare(*known, aNow);
  if (!changed && aNow - known->publishedAt < kLimitRenewalInterval) {
    return std::nullopt;
  }
  ++known->sequence;
  known->publishedAt = aNow;
  return peers::rate_limit_message{
    aObservation.upstream, known->incarnationId, known->sequence, known->limit, {}
  };
}

bool
upstream_rate_limits::Apply(const peers::rate_limit_message& aMessage, time_point aNow)
{
  entry* known = EntryOf(aMessage.upstream, aMessage.incarnationId);
  if (known == nullptr || aMessage.sequence <= known->sequence) {
    return false;
  }
  const bool changed = known->limit != aMessage.limit;
  const time_point statedAt = aNow - aMessage.age;
  known->sequence = aMessage.sequence;
  known->limit = aMessage.limit;
  known->limitStatedAt = std::max(known->limitStatedAt, statedAt);
  known->lastStatedAt = std::max(known->lastStatedAt, statedAt);
  known->publishedAt = aNow;
  UpdateShare(*known, aNow);
  return changed;
}

const upstream_rate_limits::entry*
upstream_rate_limits::FindKnown(const instance_id& aUpstream, incarnation aIncarnation) const
{
  const auto found = mEntries.find(aUpstream);
  const bool isKnown = found != mEntries.end() && found->second.incarnationId >= aIncarnation;
  return isKnown ? &found->second : nullptr;
}

const upstream_rate_limits::entry*
upstream_rate_limits::FindLimited(const instance_id& aUpstream, incarnation aIncarnation) const
{
  const entry* known = FindKnown(aUpstream, aIncarnation);
  return known != nullptr && known->limit ? known : nullptr;
}

void
upstream_rate_limits::RecordCall(const instance_id& aUpstream,
                                 incarnation aIncarnation,
                                 time_point aNow)
{
  if (FindLimited(aUpstream, aIncarnation) != nullptr) {
    mEntries[aUpstream].permits.Take(aNow);
  }
  if (IsCold(aUpstream, aIncarnation, aNow)) {
    mEntries[aUpstream].coldPermits.Take(aNow);
  }
}

bool
upstream_rate_limits::MaySend(const instance_id& aUpstream,
                              incarnation aIncarnation,
                              time_point aNow) const
{
  const entry* known = FindKnown(aUpstream, aIncarnation);
  return known == nullptr || ((!known->limit || known->permits.HasPermit(aNow)) &&
                              (known->coldUntil <= aNow || known->coldPermits.HasPermit(aNow)));
}

std::optional<duration>
upstream_rate_limits::TimeToNextPermit(const instance_id& aUpstream,
                                       incarnation aIncarnation,
                                       time_point aNow) const
{
  const entry* known = FindKnown(aUpstream, aIncarnation);
  if (known == nullptr) {
    return duration{};
  }
  const std::optional<duration> byLimit =
    known->limit ? known->permits.TimeToNextPermit(aNow) : duration{};
  if (!byLimit || known->coldUntil <= aNow) {
    return byLimit;
  }
  const duration warmIn = known->coldUntil - aNow;
  const duration byWarmup =
    std::min(known->coldPermits.TimeToNextPermit(aNow).value_or(warmIn), warmIn);
  return std::max(*byLimit, byWarmup);
}

std::optional<limited_upstream>
upstream_rate_limits::Find(const instance_id& aUpstream) const
{
  const auto found = mEntries.find(aUpstream);
  if (found == mEntries.end() || !found->second.limit) {
    return std::nullopt;
  }
  return limited_upstream{ aUpstream, *found->second.limit, found->second.permits.Share() };
}

std::vector<limited_upstream>
upstream_rate_limits::All() const
{
  std::vector<limited_upstream> all;
  for (const auto& [upstream, known] : mEntries) {
    if (known.limit) {
      all.push_back({ upstream, *known.limit, known.permits.Share() });
    }
  }
  return all;
}

} // namespace persimmon::dispatch
