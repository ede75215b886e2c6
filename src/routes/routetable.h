#pragma once

#include "routes/configuration.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmon::routes {

/// Index of a configuration for the lookups of each call. Immutable, so that a call uses the same
/// table from beginning to end.
class route_table
{
public:
  explicit route_table(configuration aConfiguration);

  [[nodiscard]] const configuration& Configuration() const { return mConfiguration; }
  /// Returns the route of a host with the longest prefix that matches the path; nullptr when there
  /// is none. Case and port of the host are ignored.
  [[nodiscard]] const route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// Returns whether a declared route that cannot be read takes precedence over aFound, the route
  /// found for the same host and path.
  [[nodiscard]] bool IsHidden(const route* aFound,
                              std::string_view aHost,
                              std::string_view aPath) const;
  /// Returns the customer that owns an API key; nullptr when there is none, or no key.
  [[nodiscard]] const customer* FindCustomer(const std::string& aKey) const;
  /// Returns the service of a name; nullptr when there is none.
  [[nodiscard]] const service_profile* FindService(const service_name& aName) const;
  /// Returns the position of a priority among those of all routes and customers, 0 for the most
  /// urgent. Only their order counts.
  [[nodiscard]] std::size_t RankOf(std::uint32_t aPriority) const;
  /// Returns a service of the route, chosen by weight; aRandom must be uniformly distributed.
  [[nodiscard]] static const service_name& PickService(const route& aRoute, std::uint64_t aRandom);

private:
  configuration mConfiguration;
  /// Maps a host to the indexes of its routes, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesByHost;
  /// Priorities of routes and customers, the most urgent first.
  std::vector<std::uint32_t> mPriorities;
  /// Maps an API key to the index of its customer.
  std::unordered_map<std::string, std::size_t> mCustomersByKey;
};

} // namespace persimmon::routes
