#pragma once

#include "fleet/enginegroup.h"
#include "fleet/enginereport.h"
#include "fleet/instance.h"
#include "fleet/leavinginstances.h"
#include "routes/configuration.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace persimmon::fleet {

/// In-memory view of the registered upstream instances and of the groups that they form. Performs
/// no I/O.
class fleet_view
{
public:
  /// Replaces all instances.
  void Reset(std::vector<instance> aInstances);
  /// Adds an instance or replaces the one with the same id.
  void Upsert(instance aInstance);
  void Remove(const instance_id& aId);
  /// Records that an incarnation of an instance has said that it is leaving: it counts as draining,
  /// whatever its entry says now or later. Returns whether that was not known.
  bool MarkLeaving(const instance_id& aId, incarnation aIncarnation);
  /// Updates an instance with its own report. Ignored when the instance is not registered or when
  /// the report is older than the entry: an earlier incarnation, or fewer accepted orders in the
  /// same one.
  void ApplyReport(const instance_id& aId, const engine_report& aReport);

  /// Returns the instance with an id; nullptr when it is not registered.
  [[nodiscard]] const instance* Find(const instance_id& aId) const;
  [[nodiscard]] const std::map<instance_id, instance>& Instances() const { return mInstances; }
  [[nodiscard]] std::vector<const instance*> InstancesOfService(const service_name& aService) const;
  /// Returns the groups of an engine service, complete or not; empty for a service without engines.
  [[nodiscard]] std::vector<engine_group> GroupsOfService(
    const routes::service_profile& aService) const;

private:
  std::map<instance_id, instance> mInstances;
  leaving_instances mLeaving;
};

} // namespace persimmon::fleet
