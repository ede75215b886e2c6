#pragma once

#include "peers/member.h"

#include <map>
#include <optional>
#include <vector>

namespace persimmon::peers {

/// Which routers live, by the rules of SWIM: a suspicion spreads, the suspected one refutes it by
/// a higher sequence, and one that does not in time counts as dead. A new life goes before every
/// older one.
class member_list
{
public:
  explicit member_list(member aSelf);

  /// Takes an update over. Returns the entry to pass on, which is a refutation when the update
  /// speaks ill of this router; nothing when the update is not news.
  std::optional<member> Merge(member aUpdate, time_point aNow);
  /// Suspects a member that could not be reached; returns the entry to spread, if that is news.
  std::optional<member> Suspect(const router_id& aId, time_point aNow);
  /// Declares those dead that were suspect for aPatience; returns them.
  std::vector<member> DeclareDead(duration aPatience, time_point aNow);
  /// Marks this router as gone, for a clean stop.
  member Leave();
  /// Forgets members that have been dead for aRetention.
  void Forget(duration aRetention, time_point aNow);

  [[nodiscard]] const member& Self() const { return mMembers.at(mSelf); }
  [[nodiscard]] const member* Find(const router_id& aId) const;
  [[nodiscard]] const std::map<router_id, member>& All() const { return mMembers; }
  /// Hash over the lives and states of all live members, equal on routers that agree on them.
  [[nodiscard]] std::uint64_t Hash() const;
  /// All members but the dead, this router included, ordered by id.
  [[nodiscard]] std::vector<router_id> Live() const;

private:
  router_id mSelf;
  std::map<router_id, member> mMembers;
};

} // namespace persimmon::peers
