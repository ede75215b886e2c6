#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::routes {

/// A customer and the keys that prove its calls.
struct customer
{
  customer_name name;
  std::vector<std::string> apiKeys;
  /// Goes before a route's priority where it is set.
  std::optional<std::uint32_t> priority;
};

} // namespace persimmon::routes
