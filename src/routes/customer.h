#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::routes {

/// A customer and the API keys that authenticate its calls.
struct customer
{
  customer_name name;
  std::vector<std::string> apiKeys;
  /// Overrides the route's priority; empty when the customer has none of its own.
  std::optional<std::uint32_t> priority;
};

} // namespace persimmon::routes
