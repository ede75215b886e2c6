#include "routing/choicepolicies.h"

#include "base/hash.h"

#include <algorithm>
#include <optional>

namespace persimmon::routing {
namespace {

/// Percentage of the mean load from which an upstream counts as overloaded, see LoadBound().
constexpr std::uint64_t kLoadBoundPercent = 125;
constexpr std::uint64_t kPercent = 100;
/// One decision in this many may test an upstream on probation.
constexpr std::uint64_t kDecisionsPerTest = 200;
/// Random draws for one usable upstream before the search is given up.
constexpr int kMaxDraws = 8;
/// Length of the prompt's prefix that is hashed for affinity, in bytes.
constexpr std::size_t kAffinityPrefixBytes = 1024;

/// Additional owners of a prefix for each time that its requests would fill the mean share of an
/// upstream.
constexpr double kOwnersPerUpstreamShare = 8.0;
/// Difference between the rendezvous keys of the owners of a prefix; odd, so that all keys differ.
constexpr std::uint64_t kOwnerKeyStep = 0xd1342543de82ef95ULL;

using slot_list = std::vector<std::uint32_t>;

/// Returns the rendezvous weight of an upstream for a prefix. Both hashes are uniform, so that one
/// multiplication is enough for a different order of upstreams with each prefix.
std::uint64_t
AffinityWeight(std::uint64_t aUpstream, std::uint64_t aPrefix)
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  return (aUpstream ^ aPrefix) * kMultiplier;
}

upstream_choice
MakeChoice(const upstream_pool& aPool, std::size_t aSlot, choice_reason aWhy)
{
  return { aPool.Target(aSlot), aWhy, aSlot, aPool.Slots()[aSlot].load };
}

/// Returns the load from which an upstream counts as overloaded: kLoadBoundPercent of the mean load
/// with one more request, rounded up.
std::uint64_t
LoadBound(const upstream_pool& aPool)
{
  const std::uint64_t count = std::max<std::size_t>(1, aPool.ListedCount());
  return (kLoadBoundPercent * (aPool.TotalLoad() + 1) + kPercent * count - 1) / (kPercent * count);
}

/// Returns true for a healthy upstream that runs fewer requests than its limit.
bool
IsUsable(const upstream_pool& aPool, std::size_t aSlot, time_point aNow)
{
  const pool_slot& slot = aPool.Slots()[aSlot];
  return slot.Healthy(aNow) && slot.knownLoad < aPool.Limit();
}

/// The upstream that a rendezvous key selects.
struct prefix_owner
{
  std::size_t slot = 0;
  /// The upstream is the first in rendezvous order; none was skipped as overloaded.
  bool first = true;
};

/// Returns the first upstream in a key's rendezvous order that is usable, not excluded and not
/// overloaded.
std::optional<prefix_owner>
FindPrefixOwner(const upstream_pool& aPool,
                std::uint64_t aKey,
                const choice_request& aRequest,
                time_point aNow)
{
  const std::uint64_t bound = LoadBound(aPool);
  std::uint64_t firstWeight = 0;
  std::uint64_t bestWeight = 0;
  std::optional<std::size_t> best;
  const std::vector<std::uint64_t>& hashes = aPool.ListedHashes();
  for (std::size_t position = 0; position < hashes.size(); ++position) {
    const std::uint64_t weight = AffinityWeight(hashes[position], aKey);
    if (weight <= bestWeight) {
      continue;
    }
    const std::uint32_t slot = aPool.ListedSlots()[position];
    if (!IsUsable(aPool, slot, aNow) || aPool.IsExcluded(slot, aRequest)) {
      continue;
    }
    firstWeight = std::max(firstWeight, weight);
    if (aPool.Slots()[slot].load < bound) {
      bestWeight = weight;
      best = slot;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return prefix_owner{ *best, bestWeight == firstWeight };
}

/// Returns the number of owners that a prefix needs, from the fraction of requests that have
/// it.
std::uint64_t
OwnersNeeded(double aFraction, std::size_t aUpstreams)
{
  const double shares = aFraction * static_cast<double>(aUpstreams) * kOwnersPerUpstreamShare;
  return 1 + std::min(static_cast<std::uint64_t>(shares),
                      static_cast<std::uint64_t>(std::max<std::size_t>(1, aUpstreams) - 1));
}

/// Chooses one of a prefix's owners at random; each owner is selected by its own rendezvous key.
std::optional<upstream_choice>
ChooseByAffinity(const upstream_pool& aPool,
                 const choice_request& aRequest,
                 std::uint64_t aOwners,
                 time_point aNow,
                 random_source& aRandom)
{
  const std::uint64_t ownerIndex = aOwners > 1 ? aRandom.Below(aOwners) : 0;
  const std::uint64_t key = aRequest.prefix + ownerIndex * kOwnerKeyStep;
  const std::optional<prefix_owner> owner = FindPrefixOwner(aPool, key, aRequest, aNow);
  if (!owner) {
    return std::nullopt;
  }
  const choice_reason why = owner->first ? choice_reason::affinity : choice_reason::affinity_spill;
  return MakeChoice(aPool, owner->slot, why);
}

/// Draws a random usable upstream that is not excluded; empty after kMaxDraws unsuccessful draws.
std::optional<std::size_t>
DrawUsable(const upstream_pool& aPool,
           const slot_list& aSlots,
           const choice_request& aRequest,
           time_point aNow,
           random_source& aRandom)
{
  for (int draw = 0; draw < kMaxDraws && !aSlots.empty(); ++draw) {
    const std::uint32_t slot = aSlots[aRandom.Below(aSlots.size())];
    if (IsUsable(aPool, slot, aNow) && !aPool.IsExcluded(slot, aRequest)) {
      return slot;
    }
  }
  return std::nullopt;
}

/// Returns the less loaded of two random usable upstreams.
std::optional<std::size_t>
DrawLessLoadedOfTwo(const upstream_pool& aPool,
                    const slot_list& aSlots,
                    const choice_request& aRequest,
                    time_point aNow,
                    random_source& aRandom)
{
  const std::optional<std::size_t> first = DrawUsable(aPool, aSlots, aRequest, aNow, aRandom);
  if (!first) {
    return std::nullopt;
  }
  const std::optional<std::size_t> second = DrawUsable(aPool, aSlots, aRequest, aNow, aRandom);
  if (!second) {
    return first;
  }
  return aPool.Slots()[*second].load < aPool.Slots()[*first].load ? second : first;
}

/// Chooses the less loaded of two in the own zone, or of two in all zones when the former is
/// overloaded and the latter has a lower load.
std::optional<upstream_choice>
ChooseLessLoadedOfTwo(const upstream_pool& aPool,
                      const choice_request& aRequest,
                      time_point aNow,
                      random_source& aRandom)
{
  const std::optional<std::size_t> own =
    DrawLessLoadedOfTwo(aPool, aPool.OwnZoneSlots(), aRequest, aNow, aRandom);
  if (own && aPool.Slots()[*own].load < LoadBound(aPool)) {
    return MakeChoice(aPool, *own, choice_reason::own_zone);
  }
  const std::optional<std::size_t> other =
    DrawLessLoadedOfTwo(aPool, aPool.ListedSlots(), aRequest, aNow, aRandom);
  if (own && (!other || aPool.Slots()[*own].load <= aPool.Slots()[*other].load)) {
    return MakeChoice(aPool, *own, choice_reason::own_zone);
  }
  if (!other) {
    return std::nullopt;
  }
  return MakeChoice(aPool, *other, choice_reason::other_zone);
}

/// Searches all upstreams. Returns the least loaded healthy upstream, else the upstream whose
/// backoff ends first, else the reason why no upstream can be chosen.
upstream_choice
ChooseByScan(const upstream_pool& aPool, const choice_request& aRequest, time_point aNow)
{
  upstream_choice none{ nullptr, choice_reason::none_eligible, 0, 0 };
  std::optional<std::size_t> healthy;
  std::optional<std::size_t> any;
  for (const std::uint32_t slot : aPool.ListedSlots()) {
    const pool_slot& current = aPool.Slots()[slot];
    if (!current.Eligible(aNow)) {
      continue;
    }
    if (aPool.IsExcluded(slot, aRequest)) {
      none.why =
        none.why == choice_reason::all_full ? choice_reason::all_full : choice_reason::all_excluded;
      continue;
    }
    if (current.knownLoad >= aPool.Limit()) {
      none.why = choice_reason::all_full;
      continue;
    }
    if (current.Healthy(aNow) && (!healthy || current.load < aPool.Slots()[*healthy].load)) {
      healthy = slot;
    }
    if (!any || current.ejectedUntil < aPool.Slots()[*any].ejectedUntil) {
      any = slot;
    }
  }
  if (healthy) {
    const bool own = aPool.Slots()[*healthy].ownZone;
    return MakeChoice(aPool, *healthy, own ? choice_reason::own_zone : choice_reason::other_zone);
  }
  return any ? MakeChoice(aPool, *any, choice_reason::last_resort) : none;
}

/// Returns the upstreams that a baseline policy may choose: those eligible and not excluded,
/// without regard to health.
slot_list
EligibleSlots(const upstream_pool& aPool, const choice_request& aRequest, time_point aNow)
{
  slot_list result;
  for (const std::uint32_t slot : aPool.ListedSlots()) {
    if (aPool.Slots()[slot].Eligible(aNow) && !aPool.IsExcluded(slot, aRequest)) {
      result.push_back(slot);
    }
  }
  return result;
}

} // namespace

std::uint64_t
PrefixHash(const service_name& aService, std::string_view aPrompt)
{
  return HashText(aPrompt.substr(0, kAffinityPrefixBytes), HashText(aService.value)) | 1U;
}

upstream_choice
balanced_choice::Choose(const upstream_pool& aPool,
                        const choice_request& aRequest,
                        time_point aNow,
                        random_source& aRandom)
{
  ++mDecisions;
  if (aRequest.mayTestProbation && mDecisions % kDecisionsPerTest == 0) {
    const std::optional<std::size_t> due = aPool.DueForTest(aNow);
    if (due && !aPool.IsExcluded(*due, aRequest)) {
      return MakeChoice(aPool, *due, choice_reason::probation_test);
    }
  }
  if (aRequest.prefix != 0) {
    const std::uint64_t owners =
      OwnersNeeded(mPopularity.RecordRequest(aRequest.prefix), aPool.ListedCount());
    const std::optional<upstream_choice> choice =
      ChooseByAffinity(aPool, aRequest, owners, aNow, aRandom);
    if (choice) {
      return *choice;
    }
  }
  const std::optional<upstream_choice> choice =
    ChooseLessLoadedOfTwo(aPool, aRequest, aNow, aRandom);
  return choice ? *choice : ChooseByScan(aPool, aRequest, aNow);
}

upstream_choice
random_choice::Choose(const upstream_pool& aPool,
                      const choice_request& aRequest,
                      time_point aNow,
                      random_source& aRandom)
{
  const slot_list slots = EligibleSlots(aPool, aRequest, aNow);
  if (slots.empty()) {
    return {};
  }
  return MakeChoice(aPool, slots[aRandom.Below(slots.size())], choice_reason::random);
}

upstream_choice
round_robin_choice::Choose(const upstream_pool& aPool,
                           const choice_request& aRequest,
                           time_point aNow,
                           random_source& aRandom)
{
  const slot_list slots = EligibleSlots(aPool, aRequest, aNow);
  if (slots.empty()) {
    return {};
  }
  const std::size_t next = mNext ? *mNext : aRandom.Below(slots.size());
  mNext = next + 1;
  return MakeChoice(aPool, slots[next % slots.size()], choice_reason::round_robin);
}

upstream_choice
least_reported_load_choice::Choose(const upstream_pool& aPool,
                                   const choice_request& aRequest,
                                   time_point aNow,
                                   random_source& aRandom)
{
  const slot_list slots = EligibleSlots(aPool, aRequest, aNow);
  if (slots.empty()) {
    return {};
  }
  slot_list least;
  for (const std::uint32_t slot : slots) {
    const std::uint32_t reported = aPool.Slots()[slot].reportedLoad;
    if (!least.empty() && reported > aPool.Slots()[least.front()].reportedLoad) {
      continue;
    }
    if (!least.empty() && reported < aPool.Slots()[least.front()].reportedLoad) {
      least.clear();
    }
    least.push_back(slot);
  }
  return MakeChoice(aPool, least[aRandom.Below(least.size())], choice_reason::least_reported_load);
}

} // namespace persimmon::routing
