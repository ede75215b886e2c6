#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <string>
#include <vector>

namespace persimmon::router {

/// One decision over a request.
struct decision_step
{
  /// Time since the request came.
  duration after;
  /// What was decided, as in `upstream_chosen`.
  std::string what;
  /// Reason and facts, as `key=value` words.
  std::string detail;
};

/// All decisions over one request, for operators.
struct decision_record
{
  request_id request;
  service_name service;
  customer_name customer;
  std::vector<decision_step> steps;
};

/// Returns a record as text, one line for each step.
std::string
RenderDecisions(const decision_record& aRecord);

} // namespace persimmon::router
