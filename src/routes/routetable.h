#pragma once

#include "routes/configuration.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmon::routes {

/// A configuration with the lookups that each call needs. Immutable, so that a call keeps the
/// table that it began with.
class route_table
{
public:
  explicit route_table(configuration aConfiguration);

  [[nodiscard]] const configuration& Configuration() const { return mConfiguration; }
  /// Returns the route of a host with the longest pathPrefix that begins the path; nullptr when
  /// there is none. The host may carry a port and is compared without case.
  [[nodiscard]] const route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// Returns the customer that holds a key; nullptr when there is none.
  [[nodiscard]] const customer* FindCustomer(const std::string& aKey) const;
  [[nodiscard]] const service_profile* FindService(const service_name& aName) const;
  /// Returns the service that takes a call; aRandom is uniformly distributed.
  [[nodiscard]] static const service_name& PickService(const route& aRoute, std::uint64_t aRandom);

private:
  configuration mConfiguration;
  /// Indexes of a host's routes, longest pathPrefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesByHost;
  std::unordered_map<std::string, std::size_t> mCustomersByKey;
};

} // namespace persimmon::routes
