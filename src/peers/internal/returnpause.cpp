#include "peers/returnpause.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

constexpr int kMostDoublings = 5;

} // namespace

duration
return_pause::Failed(random_source& aRandom)
{
  const duration bound = std::min(kFirst * (1LL << std::min(mFailures, kMostDoublings)), kLongest);
  ++mFailures;
  return { 1 + static_cast<std::int64_t>(aRandom.Below(static_cast<std::uint64_t>(bound.ms))) };
}

} // namespace persimmon::peers
