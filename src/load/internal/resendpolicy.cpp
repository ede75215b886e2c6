#include "load/resendpolicy.h"

#include <algorithm>

namespace persimmon::load {
namespace {

constexpr duration kFirstWait{ 200 };
constexpr duration kLongestWait{ 2000 };
constexpr std::uint64_t kMostResends = 6;

bool
IsOutcomeUnknown(const exchange_result& aResult)
{
  return !aResult.answered && aResult.ran != "no" && aResult.refusal != kLeft;
}

duration
Backoff(std::uint64_t aSent)
{
  duration wait = kFirstWait;
  for (std::uint64_t count = 1; count < aSent && wait < kLongestWait; ++count) {
    wait = wait * 2;
  }
  return std::min(wait, kLongestWait);
}

} // namespace

std::optional<duration>
ResendWait(const planned_call& aCall,
           const exchange_result& aResult,
           const send_counts& aCounts,
           std::uint64_t aRouters)
{
  if (aResult.refusal == kNotSent) {
    return aCounts.notSent < aRouters ? std::optional(duration{}) : std::nullopt;
  }
  if (!aCall.key || aCounts.sent > kMostResends) {
    return std::nullopt;
  }
  if (IsOutcomeUnknown(aResult)) {
    return Backoff(aCounts.sent);
  }
  if (aResult.answered && aCall.duplicate && !aCounts.duplicated) {
    return kFirstWait;
  }
  return std::nullopt;
}

} // namespace persimmon::load
