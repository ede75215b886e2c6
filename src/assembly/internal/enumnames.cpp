#include "assembly/assemblyaction.h"
#include "assembly/managedgroup.h"
#include "assembly/orderoutcome.h"

namespace persimmon::assembly {

const char*
OrderKindName(order_kind aKind)
{
  switch (aKind) {
    case order_kind::join:
      return "join";
    case order_kind::open:
      return "open";
    case order_kind::close:
      return "close";
    case order_kind::leave:
      return "leave";
    case order_kind::stage:
      return "stage";
  }
  return "unknown";
}

const char*
OrderOutcomeName(order_outcome aOutcome)
{
  switch (aOutcome) {
    case order_outcome::begun:
      return "begun";
    case order_outcome::done:
      return "done";
    case order_outcome::conflict:
      return "conflict";
    case order_outcome::superseded:
      return "superseded";
    case order_outcome::misdirected:
      return "misdirected";
    case order_outcome::invalid:
      return "invalid";
    case order_outcome::unavailable:
      return "unavailable";
    case order_outcome::not_sent:
      return "not_sent";
    case order_outcome::unknown:
      return "unknown";
  }
  return "unknown";
}

const char*
DecisionName(record_decision::decision_kind aDecision)
{
  switch (aDecision) {
    case record_decision::decision_kind::formed:
      return "formed";
    case record_decision::decision_kind::opened:
      return "opened";
    case record_decision::decision_kind::abandoned:
      return "abandoned";
    case record_decision::decision_kind::released:
      return "released";
    case record_decision::decision_kind::closing:
      return "closing";
    case record_decision::decision_kind::kept:
      return "kept";
    case record_decision::decision_kind::freed:
      return "freed";
    case record_decision::decision_kind::forgotten:
      return "forgotten";
    case record_decision::decision_kind::adopted:
      return "adopted";
  }
  return "unknown";
}

const char*
StageName(managed_group::stage aStage)
{
  switch (aStage) {
    case managed_group::stage::forming:
      return "forming";
    case managed_group::stage::opening:
      return "opening";
    case managed_group::stage::serving:
      return "serving";
    case managed_group::stage::closing:
      return "closing";
    case managed_group::stage::releasing:
      return "releasing";
  }
  return "unknown";
}

} // namespace persimmon::assembly
