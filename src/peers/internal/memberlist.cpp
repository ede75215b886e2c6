#include "peers/memberlist.h"

#include "base/hash.h"

#include <tuple>

namespace persimmon::peers {
namespace {

bool
Supersedes(const member& aUpdate, const member& aKnown)
{
  return std::tie(aUpdate.startedAtMs, aUpdate.refutationNumber, aUpdate.state) >
         std::tie(aKnown.startedAtMs, aKnown.refutationNumber, aKnown.state);
}

} // namespace

const char*
MemberStateName(member_state aState)
{
  switch (aState) {
    case member_state::alive:
      return "alive";
    case member_state::suspect:
      return "suspect";
    case member_state::dead:
      return "dead";
  }
  return "unknown";
}

member_list::member_list(member aSelf)
  : mSelf(aSelf.id)
{
  mMembers.emplace(mSelf, std::move(aSelf));
}

std::optional<member>
member_list::Merge(member aUpdate, time_point aNow)
{
  if (aUpdate.id == mSelf) {
    member& self = mMembers.at(mSelf);
    if (aUpdate.startedAtMs > self.startedAtMs && self.state == member_state::alive) {
      // A former life whose clock was ahead: peers ignore this one unless it counts as later.
      self.startedAtMs = aUpdate.startedAtMs + 1;
      return self;
    }
    const bool refute = aUpdate.startedAtMs == self.startedAtMs &&
                        self.state == member_state::alive && Supersedes(aUpdate, self);
    if (!refute) {
      return std::nullopt;
    }
    self.refutationNumber = aUpdate.refutationNumber + 1;
    return self;
  }
  const auto found = mMembers.find(aUpdate.id);
  if (found != mMembers.end() && !Supersedes(aUpdate, found->second)) {
    return std::nullopt;
  }
  aUpdate.stateChangedAt = aNow;
  return mMembers.insert_or_assign(aUpdate.id, aUpdate).first->second;
}

std::optional<member>
member_list::Suspect(const router_id& aId, time_point aNow)
{
  const auto found = mMembers.find(aId);
  if (aId == mSelf || found == mMembers.end() || found->second.state != member_state::alive) {
    return std::nullopt;
  }
  found->second.state = member_state::suspect;
  found->second.stateChangedAt = aNow;
  return found->second;
}

std::vector<member>
member_list::DeclareDead(duration aTimeout, time_point aNow)
{
  std::vector<member> dead;
  for (auto& [id, entry] : mMembers) {
    if (entry.state == member_state::suspect && aNow - entry.stateChangedAt >= aTimeout) {
      entry.state = member_state::dead;
      entry.stateChangedAt = aNow;
      dead.push_back(entry);
    }
  }
  return dead;
}

member
member_list::Leave()
{
  member& self = mMembers.at(mSelf);
  self.state = member_state::dead;
  return self;
}

void
member_list::Forget(duration aRetention, time_point aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    return aEntry.second.state == member_state::dead && aEntry.first != mSelf &&
           aNow - aEntry.second.stateChangedAt >= aRetention;
  });
}

const member*
member_list::Find(const router_id& aId) const
{
  const auto found = mMembers.find(aId);
  return found == mMembers.end() ? nullptr : &found->second;
}

std::uint64_t
member_list::Hash() const
{
  std::uint64_t hash = 0;
  for (const auto& [id, entry] : mMembers) {
    if (entry.state != member_state::dead) {
      hash ^= HashText(id.value, entry.startedAtMs ^ (entry.refutationNumber << 48U));
    }
  }
  return hash;
}

std::vector<router_id>
member_list::LiveRouters() const
{
  std::vector<router_id> live;
  for (const auto& [id, entry] : mMembers) {
    if (entry.state != member_state::dead) {
      live.push_back(id);
    }
  }
  return live;
}

} // namespace persimmon::peers
