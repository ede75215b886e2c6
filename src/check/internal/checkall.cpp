#include "check/checks.h"

namespace persimmon::check {

std::vector<verdict>
CheckAll(const run_history& aHistory, const check_options& aOptions)
{
  return { CheckCompleteHistory(aHistory),
           CheckWholeGroups(aHistory, aOptions),
           CheckSingleMembership(aHistory),
           CheckOwnAnswers(aHistory),
           CheckTruthfulRefusals(aHistory),
           CheckAtMostOnce(aHistory),
           CheckLeavingUpstreams(aHistory, aOptions),
           CheckGracefulStops(aHistory),
           CheckDocumentsInForce(aHistory, aOptions) };
}

} // namespace persimmon::check
