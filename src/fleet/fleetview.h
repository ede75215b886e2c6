#pragma once

#include "fleet/enginegroup.h"
#include "fleet/enginereport.h"
#include "fleet/instance.h"
#include "routes/configuration.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace persimmon::fleet {

/// The upstream instances that are registered, and the groups that they form. Pure.
class fleet_view
{
public:
  /// Replaces everything that is known.
  void Reset(std::vector<instance> aInstances);
  /// Adds or replaces one instance.
  void Upsert(instance aInstance);
  void Remove(const instance_id& aId);
  /// Takes in what an instance said of itself later than its entry; ignored for another life.
  void ApplyReport(const instance_id& aId, const engine_report& aReport);

  [[nodiscard]] const instance* Find(const instance_id& aId) const;
  [[nodiscard]] const std::map<instance_id, instance>& Instances() const { return mInstances; }
  [[nodiscard]] std::vector<const instance*> InstancesOfService(const service_name& aService) const;
  /// Returns the groups of an engine service, complete or not.
  [[nodiscard]] std::vector<engine_group> GroupsOfService(
    const routes::service_profile& aService) const;

private:
  std::map<instance_id, instance> mInstances;
};

} // namespace persimmon::fleet
