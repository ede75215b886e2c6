#include "routing/choicepolicies.h"

#include "base/hash.h"

#include <algorithm>
#include <optional>

namespace persimmon::routing {
namespace {

/// An upstream is overloaded above this percentage of the mean load.
constexpr std::uint64_t kLoadBoundPercent = 125;
constexpr std::uint64_t kPercent = 100;
/// One decision in so many may test an upstream on probation.
constexpr std::uint64_t kTestEvery = 200;
/// Random draws before all upstreams are looked through.
constexpr int kMaxDraws = 8;
/// Bytes of a prompt that decide its affinity.
constexpr std::size_t kPrefixBytes = 1024;

/// Owners of a popular prefix for each upstream's share of the requests that it makes up.
constexpr double kOwnersPerShare = 8.0;
/// Distance between the keys of one prefix's owners; odd, so that all keys differ.
constexpr std::uint64_t kOwnerStep = 0xd1342543de82ef95ULL;

using slot_list = std::vector<std::uint32_t>;

/// Rendezvous weight of an upstream for a prefix. Both hashes are uniform already, so that one
/// multiplication is enough to make their order differ from prefix to prefix.
std::uint64_t
AffinityWeight(std::uint64_t aUpstream, std::uint64_t aPrefix)
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  return (aUpstream ^ aPrefix) * kMultiplier;
}

upstream_choice
Chosen(const upstream_pool& aPool, std::size_t aSlot, choice_reason aWhy)
{
  return { aPool.Target(aSlot), aWhy, aSlot, aPool.Slots()[aSlot].load };
}

/// Load from which an upstream counts as overloaded, with one more request on all of them.
std::uint64_t
LoadBound(const upstream_pool& aPool)
{
  const std::uint64_t count = std::max<std::size_t>(1, aPool.ListedCount());
  return (kLoadBoundPercent * (aPool.TotalLoad() + 1) + kPercent * count - 1) / (kPercent * count);
}

bool
IsUsable(const upstream_pool& aPool, std::size_t aSlot, time_point aNow)
{
  const pool_slot& slot = aPool.Slots()[aSlot];
  return slot.Healthy(aNow) && slot.known < aPool.Limit();
}

/// The owner of a prefix that takes a request.
struct prefix_owner
{
  std::size_t slot = 0;
  /// It is the first in rendezvous order; none was passed over for its load.
  bool first = true;
};

/// Finds the first upstream in a key's rendezvous order that is not overloaded.
std::optional<prefix_owner>
FindOwner(const upstream_pool& aPool,
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

/// Number of owners that a prefix needs for its part of the requests.
std::uint64_t
OwnersNeeded(double aPart, std::size_t aUpstreams)
{
  const double shares = aPart * static_cast<double>(aUpstreams) * kOwnersPerShare;
  return 1 + std::min(static_cast<std::uint64_t>(shares),
                      static_cast<std::uint64_t>(std::max<std::size_t>(1, aUpstreams) - 1));
}

/// Chooses one of a prefix's owners at random; each has a key of its own.
std::optional<upstream_choice>
ChooseByAffinity(const upstream_pool& aPool,
                 const choice_request& aRequest,
                 std::uint64_t aOwners,
                 time_point aNow,
                 random_source& aRandom)
{
  const std::uint64_t number = aOwners > 1 ? aRandom.Below(aOwners) : 0;
  const std::uint64_t key = aRequest.prefix + number * kOwnerStep;
  const std::optional<prefix_owner> owner = FindOwner(aPool, key, aRequest, aNow);
  if (!owner) {
    return std::nullopt;
  }
  const choice_reason why = owner->first ? choice_reason::affinity : choice_reason::affinity_spill;
  return Chosen(aPool, owner->slot, why);
}

std::optional<std::size_t>
Draw(const upstream_pool& aPool,
     const slot_list& aFrom,
     const choice_request& aRequest,
     time_point aNow,
     random_source& aRandom)
{
  for (int draw = 0; draw < kMaxDraws && !aFrom.empty(); ++draw) {
    const std::uint32_t slot = aFrom[aRandom.Below(aFrom.size())];
    if (IsUsable(aPool, slot, aNow) && !aPool.IsExcluded(slot, aRequest)) {
      return slot;
    }
  }
  return std::nullopt;
}

/// Returns the less loaded of two upstreams drawn at random.
std::optional<std::size_t>
DrawTwo(const upstream_pool& aPool,
        const slot_list& aFrom,
        const choice_request& aRequest,
        time_point aNow,
        random_source& aRandom)
{
  const std::optional<std::size_t> first = Draw(aPool, aFrom, aRequest, aNow, aRandom);
  if (!first) {
    return std::nullopt;
  }
  const std::optional<std::size_t> second = Draw(aPool, aFrom, aRequest, aNow, aRandom);
  if (!second) {
    return first;
  }
  return aPool.Slots()[*second].load < aPool.Slots()[*first].load ? second : first;
}

std::optional<upstream_choice>
ChooseOfTwo(const upstream_pool& aPool,
            const choice_request& aRequest,
            time_point aNow,
            random_source& aRandom)
{
  const std::optional<std::size_t> own =
    DrawTwo(aPool, aPool.OwnZoneSlots(), aRequest, aNow, aRandom);
  if (own && aPool.Slots()[*own].load < LoadBound(aPool)) {
    return Chosen(aPool, *own, choice_reason::own_zone);
  }
  const std::optional<std::size_t> other =
    DrawTwo(aPool, aPool.ListedSlots(), aRequest, aNow, aRandom);
  if (own && (!other || aPool.Slots()[*own].load <= aPool.Slots()[*other].load)) {
    return Chosen(aPool, *own, choice_reason::own_zone);
  }
  if (!other) {
    return std::nullopt;
  }
  return Chosen(aPool, *other, choice_reason::other_zone);
}

/// Looks through all upstreams: the least loaded healthy one, else the one whose back-off ends
/// first, else the reason why there is none.
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
    if (current.known >= aPool.Limit()) {
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
    return Chosen(aPool, *healthy, own ? choice_reason::own_zone : choice_reason::other_zone);
  }
  return any ? Chosen(aPool, *any, choice_reason::last_resort) : none;
}

/// Upstreams that a baseline may choose: eligible and not excluded, whatever their health.
slot_list
BaselineSlots(const upstream_pool& aPool, const choice_request& aRequest, time_point aNow)
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
  return HashText(aPrompt.substr(0, kPrefixBytes), HashText(aService.value)) | 1U;
}

upstream_choice
balanced_choice::Choose(const upstream_pool& aPool,
                        const choice_request& aRequest,
                        time_point aNow,
                        random_source& aRandom)
{
  ++mDecisions;
  if (aRequest.mayTest && mDecisions % kTestEvery == 0) {
    const std::optional<std::size_t> due = aPool.DueForTest(aNow);
    if (due && !aPool.IsExcluded(*due, aRequest)) {
      return Chosen(aPool, *due, choice_reason::probation_test);
    }
  }
  if (aRequest.prefix != 0) {
    const std::uint64_t owners =
      OwnersNeeded(mPopularity.Note(aRequest.prefix), aPool.ListedCount());
    const std::optional<upstream_choice> choice =
      ChooseByAffinity(aPool, aRequest, owners, aNow, aRandom);
    if (choice) {
      return *choice;
    }
  }
  const std::optional<upstream_choice> choice = ChooseOfTwo(aPool, aRequest, aNow, aRandom);
  return choice ? *choice : ChooseByScan(aPool, aRequest, aNow);
}

upstream_choice
random_choice::Choose(const upstream_pool& aPool,
                      const choice_request& aRequest,
                      time_point aNow,
                      random_source& aRandom)
{
  const slot_list slots = BaselineSlots(aPool, aRequest, aNow);
  if (slots.empty()) {
    return {};
  }
  return Chosen(aPool, slots[aRandom.Below(slots.size())], choice_reason::random);
}

upstream_choice
round_robin_choice::Choose(const upstream_pool& aPool,
                           const choice_request& aRequest,
                           time_point aNow,
                           random_source& aRandom)
{
  const slot_list slots = BaselineSlots(aPool, aRequest, aNow);
  if (slots.empty()) {
    return {};
  }
  const std::size_t next = mNext ? *mNext : aRandom.Below(slots.size());
  mNext = next + 1;
  return Chosen(aPool, slots[next % slots.size()], choice_reason::round_robin);
}

upstream_choice
least_reported_load_choice::Choose(const upstream_pool& aPool,
                                   const choice_request& aRequest,
                                   time_point aNow,
                                   random_source& aRandom)
{
  const slot_list slots = BaselineSlots(aPool, aRequest, aNow);
  if (slots.empty()) {
    return {};
  }
  slot_list least;
  for (const std::uint32_t slot : slots) {
    const std::uint32_t reported = aPool.Slots()[slot].reported;
    if (!least.empty() && reported > aPool.Slots()[least.front()].reported) {
      continue;
    }
    if (!least.empty() && reported < aPool.Slots()[least.front()].reported) {
      least.clear();
    }
    least.push_back(slot);
  }
  return Chosen(aPool, least[aRandom.Below(least.size())], choice_reason::least_reported_load);
}

} // namespace persimmon::routing
