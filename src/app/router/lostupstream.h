#pragma once

#include "base/ids.h"
#include "routing/upstream.h"

#include <compare>

namespace persimmon::router {

/// A group that cannot finish what it runs, in one generation.
struct lost_upstream
{
  service_name service;
  upstream_id upstream;
  generation version;

  auto operator<=>(const lost_upstream&) const = default;
};

} // namespace persimmon::router
