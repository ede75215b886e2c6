#include "peers/retrybackoff.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

constexpr int kMaxDoublings = 5;

} // namespace

duration
retry_backoff::OnFailure(random_source& aRandom)
{
  const duration bound =
    std::min(kInitialBound * (1LL << std::min(mFailures, kMaxDoublings)), kMaxBound);
  ++mFailures;
  return { 1 + static_cast<std::int64_t>(aRandom.Below(static_cast<std::uint64_t>(bound.ms))) };
}

} // namespace persimmon::peers
