#pragma once

#include "check/checkoptions.h"
#include "check/runhistory.h"
#include "check/verdict.h"

namespace persimmon::check {

/// Every execution has one dispatch by a router under an attempt id of its own; every call of the
/// load tool was invoked and ended at most once.
verdict
CheckCompleteHistory(const run_history& aHistory);

/// At some moment between a request's dispatch, less the time to notice a lost member, and its
/// execution every member of the group was present in its expected life and generation.
verdict
CheckWholeGroups(const run_history& aHistory, const check_options& aOptions);

/// No two groups in the accepted tables share an instance, and no group starts requests again
/// after a group that took over one of its instances has.
verdict
CheckSingleMembership(const run_history& aHistory);

/// Every answer is what an execution of the same request, or of one under the same key, completed
/// for the same body.
verdict
CheckOwnAnswers(const run_history& aHistory);

/// No request that was refused as not run has an execution.
verdict
CheckTruthfulRefusals(const run_history& aHistory);

/// No idempotency key has two executions.
verdict
CheckAtMostOnce(const run_history& aHistory);

/// Nothing is sent to an upstream with a leaving instance when the bound has passed, not counting
/// the time in which the sending router was paused or the platform's service was down.
verdict
CheckLeavingUpstreams(const run_history& aHistory, const check_options& aOptions);

/// Nothing was cut off by an order, or by a router's planned stop.
verdict
CheckGracefulStops(const run_history& aHistory);

/// Every router applies each accepted document, or a later one, within the bound, and never an
/// older one after it. Not counted is time in which the router was stopped or paused, or in which
/// neither the platform's service nor a peer that had the document could be reached.
verdict
CheckDocumentsInForce(const run_history& aHistory, const check_options& aOptions);

/// Runs all checkers, in the order of kPromises.
std::vector<verdict>
CheckAll(const run_history& aHistory, const check_options& aOptions);

} // namespace persimmon::check
