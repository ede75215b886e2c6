#pragma once

#include "placement/internal/tabledraft.h"

#include <vector>

namespace persimmon::placement {

/// Gives a domain the groups that the plan asks for: drops what is too much, and forms and
/// completes groups from free instances.
class group_formation
{
public:
  explicit group_formation(table_draft& aDraft)
    : mDraft(aDraft)
  {
  }

  /// Removes groups that do not serve beyond the planned number.
  void DropExcess();
  /// Completes groups that have lost members.
  void RefillIncomplete();
  /// Removes groups that were incomplete for too long while another service waits.
  void DropExpiredIncomplete();
  /// Forms the groups that are planned and missing, services of higher priority first.
  void FormMissing();

private:
  /// Adds free instances, then members of aDonors, until the group has its size. Returns false and
  /// changes nothing when there are too few.
  bool Refill(group& aGroup, const std::vector<group_id>& aDonors);
  /// Returns false when too few instances are free.
  bool FormGroup(const service_document& aDocument);
  /// Counts the loads of a complete group; it loads at once when there are none, and otherwise
  /// waits for a load slot.
  void PrepareLoading(group& aGroup);

  [[nodiscard]] bool IsOtherServiceWaiting(const group& aIncomplete) const;
  [[nodiscard]] std::vector<const tracked_instance*> FreeInstancesFor(
    const model_spec& aModel) const;
  [[nodiscard]] std::uint64_t CountLoads(const group& aGroup) const;

  table_draft& mDraft;
};

} // namespace persimmon::placement
