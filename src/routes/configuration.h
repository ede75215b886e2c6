#pragma once

#include "routes/callerlimits.h"
#include "routes/customer.h"
#include "routes/route.h"
#include "routes/serviceprofile.h"

#include <cstdint>
#include <vector>

namespace persimmon::routes {

/// One version of the routes, services, customers and limits that operators declare.
struct configuration
{
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_profile> services;
  std::vector<customer> customers;
  caller_limits limits;
};

} // namespace persimmon::routes
