#pragma once

#include "routes/callerlimits.h"
#include "routes/customer.h"
#include "routes/route.h"
#include "routes/serviceprofile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::routes {

/// Who may call routes that are not public.
enum class caller_admission
{
  /// Everybody: the configuration declares no customers at all.
  everybody,
  /// Callers with a key of a customer. Nobody, when no customer with a key could be read.
  customers
};

/// Calls to this host and path prefix are refused: the route is declared and cannot be read. A
/// route with a shorter prefix must not take them over.
struct unreadable_route
{
  std::string host;
  std::string pathPrefix;
};

/// One version of the routes, services, customers and limits that operators declare.
struct configuration
{
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_profile> services;
  /// Routes that could be told from others, but not read.
  std::vector<unreadable_route> unreadableRoutes;
  caller_admission admission = caller_admission::everybody;
  std::vector<customer> customers;
  caller_limits limits;
};

} // namespace persimmon::routes
