#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace persimmon {

/// A customer that may call a service.
struct customer_spec
{
  customer_name name;
  /// SHA-256 of the bearer key, in lower-case hexadecimal.
  std::string keySha256;
  /// Share of the service's capacity, relative to the weights of its other customers.
  std::int64_t weight = 1;

  bool operator==(const customer_spec&) const = default;
};

} // namespace persimmon
