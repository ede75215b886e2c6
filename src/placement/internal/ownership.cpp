#include "placement/ownership.h"

#include "base/hash.h"

namespace persimmon::placement {

std::optional<placer_id>
RendezvousOwner(std::string_view aSubject, const std::vector<placer_id>& aLive)
{
  std::optional<placer_id> best;
  std::uint64_t bestWeight = 0;
  for (const placer_id& placer : aLive) {
    const std::uint64_t weight = RendezvousWeight(aSubject, placer.value);
    const bool wins =
      !best || weight > bestWeight || (weight == bestWeight && placer.value < best->value);
    if (wins) {
      best = placer;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace persimmon::placement
