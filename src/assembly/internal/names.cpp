#include "assembly/assemblyaction.h"
#include "assembly/formation.h"
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
DecisionName(note_decision::what aDecision)
{
  switch (aDecision) {
    case note_decision::what::formed:
      return "formed";
    case note_decision::what::opened:
      return "opened";
    case note_decision::what::abandoned:
      return "abandoned";
    case note_decision::what::released:
      return "released";
    case note_decision::what::closing:
      return "closing";
    case note_decision::what::freed:
      return "freed";
    case note_decision::what::adopted:
      return "adopted";
  }
  return "unknown";
}

const char*
StageName(formation::stage aStage)
{
  switch (aStage) {
    case formation::stage::forming:
      return "forming";
    case formation::stage::opening:
      return "opening";
    case formation::stage::serving:
      return "serving";
    case formation::stage::closing:
      return "closing";
    case formation::stage::releasing:
      return "releasing";
  }
  return "unknown";
}

} // namespace persimmon::assembly
