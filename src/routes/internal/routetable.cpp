#include "routes/routetable.h"

#include "base/text.h"

#include <algorithm>
#include <set>

namespace persimmon::routes {
namespace {

/// Returns the host name of a Host header in lower case, without the port.
std::string
HostName(std::string_view aHost)
{
  return LowerCase(aHost.substr(0, aHost.find(':')));
}

std::uint64_t
TotalWeight(const route& aRoute)
{
  std::uint64_t total = 0;
  for (const weighted_service& candidate : aRoute.services) {
    total += candidate.weight;
  }
  return total;
}

} // namespace

route_table::route_table(configuration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (std::size_t i = 0; i < mConfiguration.routes.size(); ++i) {
    mRoutesByHost[HostName(mConfiguration.routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : mRoutesByHost) {
    std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t aLeft, std::size_t aRight) {
      return mConfiguration.routes[aLeft].pathPrefix.size() >
             mConfiguration.routes[aRight].pathPrefix.size();
    });
  }
  std::set<std::uint32_t> priorities;
  for (const route& each : mConfiguration.routes) {
    priorities.insert(each.priority);
  }
  for (const customer& each : mConfiguration.customers) {
    if (each.priority) {
      priorities.insert(*each.priority);
    }
  }
  mPriorities.assign(priorities.begin(), priorities.end());
  for (std::size_t i = 0; i < mConfiguration.customers.size(); ++i) {
    for (const std::string& key : mConfiguration.customers[i].apiKeys) {
      // The key of a caller that has sent none is empty.
      if (!key.empty()) {
        mCustomersByKey.emplace(key, i);
      }
    }
  }
}

std::size_t
route_table::RankOf(std::uint32_t aPriority) const
{
  const auto found = std::lower_bound(mPriorities.begin(), mPriorities.end(), aPriority);
  return static_cast<std::size_t>(found - mPriorities.begin());
}

const route*
route_table::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = mRoutesByHost.find(HostName(aHost));
  if (found == mRoutesByHost.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (aPath.starts_with(mConfiguration.routes[index].pathPrefix)) {
      return &mConfiguration.routes[index];
    }
  }
  return nullptr;
}

bool
route_table::IsHidden(const route* aFound, std::string_view aHost, std::string_view aPath) const
{
  const std::size_t found = aFound == nullptr ? 0 : aFound->pathPrefix.size();
  const auto& hiding = mConfiguration.unreadableRoutes;
  return std::any_of(hiding.begin(), hiding.end(), [&](const unreadable_route& aRoute) {
    return aRoute.pathPrefix.size() >= found && aPath.starts_with(aRoute.pathPrefix) &&
           HostName(aRoute.host) == HostName(aHost);
  });
}

const customer*
route_table::FindCustomer(const std::string& aKey) const
{
  const auto found = mCustomersByKey.find(aKey);
  return found == mCustomersByKey.end() ? nullptr : &mConfiguration.customers[found->second];
}

const service_profile*
route_table::FindService(const service_name& aName) const
{
  for (const service_profile& service : mConfiguration.services) {
    if (service.name == aName) {
      return &service;
    }
  }
  return nullptr;
}

const service_name&
route_table::PickService(const route& aRoute, std::uint64_t aRandom)
{
  const std::uint64_t total = TotalWeight(aRoute);
  if (total == 0) {
    return aRoute.services.front().service;
  }
  std::uint64_t remaining = aRandom % total;
  for (const weighted_service& candidate : aRoute.services) {
    if (remaining < candidate.weight) {
      return candidate.service;
    }
    remaining -= candidate.weight;
  }
  return aRoute.services.back().service;
}

} // namespace persimmon::routes
