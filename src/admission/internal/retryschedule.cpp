#include "admission/retryschedule.h"

#include <algorithm>

namespace persimmon::admission {
namespace {

/// Callers wait for up to the time that they have left, divided by this.
constexpr std::int64_t kCallerPatienceDivisor = 3;
/// Not before the process that refused has taken others.
constexpr duration kMinRetryAfter{ 100 };
constexpr duration kMaxRetryAfter{ 3000 };
constexpr std::int64_t kSpreadDivisor = 2;

} // namespace

duration
RetryAfterOverload(duration aLeft, std::uint64_t aRandom)
{
  const duration latest =
    std::clamp(aLeft / kCallerPatienceDivisor, kMinRetryAfter, kMaxRetryAfter);
  const duration spread = latest / kSpreadDivisor;
  const auto random =
    static_cast<std::int64_t>(aRandom % static_cast<std::uint64_t>(spread.ms + 1));
  return latest - duration{ random };
}

} // namespace persimmon::admission
