#include "peers/rendezvous.h"

#include "base/hash.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

constexpr std::size_t kObserversPerGroup = 2;

struct weighted_router
{
  std::uint64_t weight = 0;
  const router_id* router = nullptr;
};

bool
HasHigherWeight(const weighted_router& aLeft, const weighted_router& aRight)
{
  if (aLeft.weight != aRight.weight) {
    return aLeft.weight > aRight.weight;
  }
  return *aLeft.router < *aRight.router;
}

std::uint64_t
RingPosition(const router_id& aRouter)
{
  return HashText(aRouter.value);
}

/// Returns the next router clockwise on the ring; the router itself if there is no other.
router_id
RingSuccessor(const router_id& aSelf, const std::vector<router_id>& aLive)
{
  const std::uint64_t own = RingPosition(aSelf);
  const auto distance = [own](const router_id& aRouter) { return RingPosition(aRouter) - own - 1; };
  router_id nearest = aSelf;
  for (const router_id& candidate : aLive) {
    const bool closer = nearest == aSelf || distance(candidate) < distance(nearest);
    if (candidate != aSelf && closer) {
      nearest = candidate;
    }
  }
  return nearest;
}

} // namespace

std::vector<router_id>
SelectByWeight(std::string_view aKey, const std::vector<router_id>& aRouters, std::size_t aCount)
{
  std::vector<weighted_router> weighted;
  weighted.reserve(aRouters.size());
  for (const router_id& router : aRouters) {
    weighted.push_back({ RendezvousWeight(aKey, router.value), &router });
  }
  const std::size_t count = std::min(aCount, weighted.size());
  const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weighted.begin(), middle, weighted.end(), HasHigherWeight);
  std::vector<router_id> chosen;
  for (auto entry = weighted.begin(); entry != middle; ++entry) {
    chosen.push_back(*entry->router);
  }
  return chosen;
}

std::vector<router_id>
ChoosePeers(const router_id& aSelf, const std::vector<router_id>& aLive, std::size_t aCount)
{
  std::vector<router_id> others;
  std::copy_if(aLive.begin(),
               aLive.end(),
               std::back_inserter(others),
               [&](const router_id& aRouter) { return aRouter != aSelf; });
  std::vector<router_id> chosen;
  if (others.empty()) {
    return chosen;
  }
  chosen.push_back(RingSuccessor(aSelf, others));
  for (const router_id& router : SelectByWeight(aSelf.value, others, aCount)) {
    if (chosen.size() < aCount && router != chosen.front()) {
      chosen.push_back(router);
    }
  }
  return chosen;
}

std::vector<router_id>
ObserversOf(const group_id& aGroup, const std::vector<router_id>& aLive)
{
  return SelectByWeight(aGroup.value, aLive, kObserversPerGroup);
}

} // namespace persimmon::peers
