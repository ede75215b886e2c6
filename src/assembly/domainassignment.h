#pragma once

#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace persimmon::assembly {

/// State of a fabric domain at the time of an assignment.
struct domain_inventory
{
  domain_id domain;
  std::size_t instanceCount = 0;
  /// Number of instances that hold the weights of each model, load them, or were ordered to.
  std::map<routes::model_name, std::size_t> instancesByModel;
};

/// Assigns fabric domains to models, so that a group that loses members is formed again from
/// instances of its own domain. Performs no I/O.
class domain_assignment
{
public:
  /// Assigns a model to each domain that is large enough for a group. A domain that holds weights
  /// keeps its model, or gets the model that most of its instances hold. All others are assigned
  /// again, so that a domain that was only partly registered before is considered with its full
  /// size. The demand shares may have any unit.
  void Assign(const std::vector<domain_inventory>& aDomains,
              const std::vector<routes::model_profile>& aModels,
              const std::map<routes::model_name, double>& aDemandShares);
  /// Gives one domain to the model with the highest demand for each of its instances when that
  /// lowers the highest one clearly, and returns it; empty when none is to be moved. A domain that
  /// moves loads other weights, so that small gains are not worth it.
  std::optional<domain_id> Rebalance(const std::vector<domain_inventory>& aDomains,
                                     const std::vector<routes::model_profile>& aModels,
                                     const std::map<routes::model_name, double>& aDemandShares);
  void Clear() { mModelByDomain.clear(); }

  /// Returns the model of a domain; nullptr when it has none.
  [[nodiscard]] const routes::model_name* ModelOf(const domain_id& aDomain) const;
  /// Returns true when each of the models has at least one domain.
  [[nodiscard]] bool CoversAllModels(const std::vector<routes::model_profile>& aModels) const;

private:
  std::map<domain_id, routes::model_name> mModelByDomain;
};

} // namespace persimmon::assembly
