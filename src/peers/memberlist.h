#pragma once

#include "peers/member.h"

#include <map>
#include <optional>
#include <vector>

namespace persimmon::peers {

/// Membership of the mesh by the SWIM protocol. A suspicion is disseminated; the suspected member
/// refutes it with a higher refutation number, or it is declared dead after a timeout. Entries of a
/// restarted process replace all entries of earlier processes.
class member_list
{
public:
  explicit member_list(member aSelf);

  /// Merges an update. Returns the entry to disseminate, which is a refutation if the update marks
  /// this router as suspect or dead; empty if the update changes nothing.
  std::optional<member> Merge(member aUpdate, time_point aNow);
  /// Marks an unreachable member as suspect. Returns the entry to disseminate; empty if the member
  /// was not alive.
  std::optional<member> Suspect(const router_id& aId, time_point aNow);
  /// Declares members dead that have been suspect for aTimeout; returns them.
  std::vector<member> DeclareDead(duration aTimeout, time_point aNow);
  /// Marks this router as dead before a clean stop; returns its entry.
  member Leave();
  /// Removes members that have been dead for aRetention.
  void Forget(duration aRetention, time_point aNow);

  [[nodiscard]] const member& Self() const { return mMembers.at(mSelf); }
  /// Returns a member; nullptr if it is unknown.
  [[nodiscard]] const member* Find(const router_id& aId) const;
  [[nodiscard]] const std::map<router_id, member>& All() const { return mMembers; }
  /// Hash of the process starts and refutation numbers of all live members; equal on routers that
  /// agree on them.
  [[nodiscard]] std::uint64_t Hash() const;
  /// All members that are not dead, including this router, ordered by id.
  [[nodiscard]] std::vector<router_id> LiveRouters() const;

private:
  router_id mSelf;
  std::map<router_id, member> mMembers;
};

} // namespace persimmon::peers
