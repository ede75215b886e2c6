#include "routing/retrydecision.h"

namespace persimmon::routing {

retry_verdict
DecideRetry(const failed_attempt& aFailed, retry_budget& aBudget, time_point aNow)
{
  const bool notRun = aFailed.provedNotRun || aFailed.draining;
  const bool partly = aFailed.bytesDelivered > 0;
  if (!notRun && !aFailed.idempotent) {
    return retry_verdict::may_have_run;
  }
  if (partly && !aFailed.resumable) {
    return retry_verdict::partly_delivered;
  }
  if (aFailed.attempts >= (aFailed.draining ? kMaxAttemptsAfterDraining : kMaxAttempts)) {
    return retry_verdict::attempts_spent;
  }
  if (aFailed.deadline - aNow <= aFailed.expectedTimeToFirstByte) {
    return retry_verdict::deadline_too_near;
  }
  if (!aFailed.draining && !aBudget.TryTakeToken(aNow)) {
    return retry_verdict::budget_spent;
  }
  return partly ? retry_verdict::resume : retry_verdict::repeat;
}

} // namespace persimmon::routing
