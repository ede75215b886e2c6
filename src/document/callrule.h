#pragma once

#include <string>

namespace persimmon {

/// Says whether calls with this method and path prefix may be repeated. The first rule that
/// matches decides; without one, RFC 9110 decides by the method.
struct call_rule
{
  std::string method;
  std::string pathPrefix;
  bool idempotent = true;

  bool operator==(const call_rule&) const = default;
};

} // namespace persimmon
