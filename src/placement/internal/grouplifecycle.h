#pragma once

#include "placement/internal/tabledraft.h"

namespace persimmon::placement {

/// Advances the groups that a domain has: from forming over loading to serving, and through
/// draining to their end.
class group_lifecycle
{
public:
  explicit group_lifecycle(table_draft& aDraft)
    : mDraft(aDraft)
  {
  }

  /// Advances the state of a group. Returns false when the group must be removed.
  bool Advance(group& aGroup);

private:
  bool AdvanceDraining(group& aGroup);
  bool AdvanceForming(group& aGroup);
  bool AdvanceLoading(group& aGroup);
  bool AdvanceServing(group& aGroup);
  /// Removes lost members, or waits for them if the policy has no spares. Returns false when the
  /// group must be removed.
  bool RemoveLostMembers(group& aGroup);
  /// Returns a group with lost members to forming and accepts restarted members in their new
  /// incarnation.
  void AwaitLostMembers(group& aGroup);

  [[nodiscard]] bool IsDrained(const group& aGroup) const;
  [[nodiscard]] bool AreAllMembersReady(const group& aGroup) const;
  [[nodiscard]] bool HasMismatchedMember(const group& aGroup) const;
  [[nodiscard]] bool MustRemoveMember(const group& aGroup, const group_member& aMember) const;
  [[nodiscard]] bool IsOutdated(const group& aGroup) const;
  [[nodiscard]] bool CanStartLoading(const group& aGroup) const;

  table_draft& mDraft;
};

} // namespace persimmon::placement
