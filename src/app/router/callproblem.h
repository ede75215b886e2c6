#pragma once

#include "routing/refusalreason.h"

#include <string>

namespace persimmon::router {

/// What is wrong with a caller's request.
struct call_problem
{
  routing::refusal_reason reason = routing::refusal_reason::unknown_path;
  std::string detail;
};

} // namespace persimmon::router
