#include "routing/admissionaction.h"
#include "routing/ineligibility.h"
#include "routing/retrydecision.h"
#include "routing/upstreamchoice.h"

namespace persimmon::routing {

const char*
IneligibilityName(ineligibility aWhy)
{
  switch (aWhy) {
    case ineligibility::none:
      return "none";
    case ineligibility::not_serving:
      return "not_serving";
    case ineligibility::never_observed:
      return "never_observed";
    case ineligibility::evidence_expired:
      return "evidence_expired";
    case ineligibility::members_mismatch:
      return "members_mismatch";
    case ineligibility::generation_superseded:
      return "generation_superseded";
    case ineligibility::member_leaving:
      return "member_leaving";
    case ineligibility::member_restarted:
      return "member_restarted";
  }
  return "unknown";
}

const char*
ChoiceReasonName(choice_reason aReason)
{
  switch (aReason) {
    case choice_reason::affinity:
      return "affinity";
    case choice_reason::affinity_spill:
      return "affinity_spill";
    case choice_reason::own_zone:
      return "own_zone";
    case choice_reason::other_zone:
      return "other_zone";
    case choice_reason::probation_test:
      return "probation_test";
    case choice_reason::last_resort:
      return "last_resort";
    case choice_reason::random:
      return "random";
    case choice_reason::round_robin:
      return "round_robin";
    case choice_reason::least_reported_load:
      return "least_reported_load";
    case choice_reason::none_eligible:
      return "none_eligible";
    case choice_reason::all_excluded:
      return "all_excluded";
    case choice_reason::all_full:
      return "all_full";
  }
  return "unknown";
}

const char*
RetryVerdictName(retry_verdict aVerdict)
{
  switch (aVerdict) {
    case retry_verdict::repeat:
      return "repeat";
    case retry_verdict::resume:
      return "resume";
    case retry_verdict::may_have_run:
      return "may_have_run";
    case retry_verdict::partly_delivered:
      return "partly_delivered";
    case retry_verdict::attempts_spent:
      return "attempts_spent";
    case retry_verdict::deadline_too_near:
      return "deadline_too_near";
    case retry_verdict::budget_spent:
      return "budget_spent";
  }
  return "unknown";
}

const char*
AdmissionVerdictName(admission_verdict aVerdict)
{
  switch (aVerdict) {
    case admission_verdict::start:
      return "start";
    case admission_verdict::customer_over_share:
      return "customer_over_share";
    case admission_verdict::queue_full:
      return "queue_full";
    case admission_verdict::wait_exceeds_deadline:
      return "wait_exceeds_deadline";
    case admission_verdict::deadline_passed:
      return "deadline_passed";
    case admission_verdict::unknown_customer:
      return "unknown_customer";
  }
  return "unknown";
}

} // namespace persimmon::routing
