#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace persimmon {

/// A caller that a service answers.
struct customer_spec
{
  customer_name name;
  /// Lower-case hexadecimal SHA-256 of the bearer key.
  std::string keySha256;
  /// Share of the service relative to its other customers.
  std::int64_t weight = 1;

  bool operator==(const customer_spec&) const = default;
};

} // namespace persimmon
