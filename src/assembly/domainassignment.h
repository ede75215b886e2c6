#pragma once

#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstddef>
#include <map>
#include <vector>

namespace persimmon::assembly {

/// What is known of a fabric domain when the domains are divided among the models.
struct domain_inventory
{
  domain_name domain;
  std::size_t instanceCount = 0;
  /// Instances that hold the weights of a model, load them, or are asked to.
  std::map<routes::model_name, std::size_t> instancesByModel;
};

/// Divides fabric domains among models, so that a domain mends its groups out of its own
/// survivors. Pure.
class domain_assignment
{
public:
  /// Gives each domain a model. A domain in which weights are held keeps its model; all others are
  /// divided anew, so that a domain that was seen in part counts again once it is whole. The wanted
  /// parts of the work are in any unit.
  void Assign(const std::vector<domain_inventory>& aDomains,
              const std::vector<routes::model_profile>& aModels,
              const std::map<routes::model_name, double>& aDemandShares);
  void Clear() { mModelByDomain.clear(); }

  /// Returns the model of a domain; nullptr when it has none.
  [[nodiscard]] const routes::model_name* ModelOf(const domain_name& aDomain) const;
  /// True when each of the models has a domain.
  [[nodiscard]] bool CoversAllModels(const std::vector<routes::model_profile>& aModels) const;

private:
  std::map<domain_name, routes::model_name> mModelByDomain;
};

} // namespace persimmon::assembly
