#include "paths/questionbudget.h"

#include <algorithm>

namespace persimmon::paths {
namespace {

/// Questions per second, and at once after a pause. A question and its answer take about 0.6 ms of
/// processor time, half of it at the peer.
constexpr double kPerSecond = 4;
constexpr double kMostAtOnce = 8;
/// The same while this process may be cut off: there may be a single peer among many that reaches
/// upstreams.
constexpr double kPerSecondIfCutOff = 200;
constexpr double kMostAtOnceIfCutOff = 16;
constexpr double kMsPerSecond = 1000;

} // namespace

bool
question_budget::Take(time_point aNow, bool aMayBeCutOff)
{
  Refill(aNow,
         aMayBeCutOff ? kPerSecondIfCutOff : kPerSecond,
         aMayBeCutOff ? kMostAtOnceIfCutOff : kMostAtOnce);
  if (mLeft < 1) {
    return false;
  }
  mLeft -= 1;
  return true;
}

void
question_budget::OnPathFound()
{
  mLeft = std::max(mLeft, kMostAtOnce);
}

void
question_budget::Refill(time_point aNow, double aPerSecond, double aMost)
{
  const double elapsed = static_cast<double>((aNow - mFilledAt).ms) / kMsPerSecond;
  mLeft = mIsFilled ? std::min(mLeft + elapsed * aPerSecond, aMost) : aMost;
  mIsFilled = true;
  mFilledAt = aNow;
}

} // namespace persimmon::paths
