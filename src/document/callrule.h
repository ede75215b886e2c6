#pragma once

#include <string>

namespace persimmon {

/// Declares whether calls with this method and path prefix are idempotent. The first matching rule
/// applies; without a match, the method decides as in RFC 9110.
struct call_rule
{
  std::string method;
  std::string pathPrefix;
  bool idempotent = true;

  bool operator==(const call_rule&) const = default;
};

} // namespace persimmon
