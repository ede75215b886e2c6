#include "placement/internal/grouplifecycle.h"

#include "placement/internal/groupcheck.h"
#include "placement/internal/memberlist.h"
#include "placement/placementevents.h"

#include <algorithm>

namespace persimmon::placement {
namespace {

/// A group that got no load slot for this long loads without one.
constexpr duration kLoadSlotTimeout{ 20'000 };
/// Longest wait for routers to report that they have applied the draining table.
constexpr duration kRouterApplyTimeout{ 3000 };
/// A drain that takes this long is ended with requests still in flight.
constexpr duration kDrainTimeout{ 900'000 };

} // namespace

bool
group_lifecycle::IsOutdated(const group& aGroup) const
{
  const service_document* document = mDraft.DocumentOf(aGroup.service);
  if (document == nullptr) {
    return false;
  }
  const auto size = static_cast<std::int64_t>(aGroup.members.size());
  return aGroup.model != document->model || size > document->capacity.instancesPerReplica;
}

bool
group_lifecycle::MustRemoveMember(const group& aGroup, const group_member& aMember) const
{
  if (mDraft.Context().members.IsLost(aMember)) {
    return true;
  }
  const tracked_instance* instance = mDraft.Context().members.Find(aMember.instance);
  const bool unwanted = instance->listed.leaving || mDraft.Context().now < instance->excludedUntil;
  return unwanted && aGroup.state != group_state::serving;
}

bool
group_lifecycle::Advance(group& aGroup)
{
  if (aGroup.state == group_state::draining) {
    return AdvanceDraining(aGroup);
  }
  const bool stopped = ContainsGroup(mDraft.Context().plan.stops, aGroup.id);
  if (aGroup.state != group_state::serving && (stopped || IsOutdated(aGroup))) {
    mDraft.LogDecision(
      kGroupDropped, aGroup, stopped ? "no longer in the plan" : "service document changed");
    return false;
  }
  if (!RemoveLostMembers(aGroup)) {
    mDraft.LogDecision(kGroupDropped, aGroup, "all members lost");
    return false;
  }
  switch (aGroup.state) {
    case group_state::forming:
      return AdvanceForming(aGroup);
    case group_state::loading:
      return AdvanceLoading(aGroup);
    default:
      return AdvanceServing(aGroup);
  }
}

bool
group_lifecycle::RemoveLostMembers(group& aGroup)
{
  if (!mDraft.Context().policy.useSpares) {
    AwaitLostMembers(aGroup);
    return true;
  }
  const std::size_t before = aGroup.members.size();
  std::string removed;
  std::erase_if(aGroup.members, [&](const group_member& aMember) {
    const bool lost = MustRemoveMember(aGroup, aMember);
    removed += lost ? " " + aMember.instance.value : "";
    return lost;
  });
  if (aGroup.members.size() < before) {
    aGroup.state = group_state::forming;
    mDraft.LogDecision(kGroupWithdrawn, aGroup, "members lost:" + removed);
  }
  const bool kept = mDraft.Context().policy.replaceMembers || aGroup.members.size() == before;
  return kept && !aGroup.members.empty();
}

void
group_lifecycle::AwaitLostMembers(group& aGroup)
{
  for (group_member& member : aGroup.members) {
    const tracked_instance* instance = mDraft.Context().members.Find(member.instance);
    if (instance == nullptr || !mDraft.Context().members.IsLost(member)) {
      continue;
    }
    aGroup.state = group_state::forming;
    aGroup.loads = 1;
    if (!instance->lost) {
      member.incarnationId = instance->state->incarnationId;
    }
  }
}

bool
group_lifecycle::CanStartLoading(const group& aGroup) const
{
  return aGroup.loads == 0 || ContainsGroup(mDraft.Context().plan.loads, aGroup.id) ||
         mDraft.Context().now - mDraft.StateEnteredAt(aGroup) >= kLoadSlotTimeout;
}

bool
group_lifecycle::AdvanceForming(group& aGroup)
{
  const bool present =
    std::none_of(aGroup.members.begin(), aGroup.members.end(), [&](const auto& aMember) {
      return mDraft.Context().members.IsLost(aMember);
    });
  if (present && mDraft.HasAllMembers(aGroup) && CanStartLoading(aGroup)) {
    aGroup.state = group_state::loading;
    mDraft.LogDecision(kGroupLoading, aGroup);
  }
  return true;
}

bool
group_lifecycle::AdvanceLoading(group& aGroup)
{
  if (AreAllMembersReady(aGroup)) {
    aGroup.state = group_state::serving;
    mDraft.LogDecision(kGroupServing, aGroup, MemberList(aGroup));
  }
  return true;
}

bool
group_lifecycle::AdvanceServing(group& aGroup)
{
  if (ContainsGroup(mDraft.Context().plan.stops, aGroup.id)) {
    aGroup.state = group_state::draining;
    mDraft.LogDecision(kGroupDraining, aGroup);
    return true;
  }
  if (HasMismatchedMember(aGroup)) {
    aGroup.state = group_state::loading;
    aGroup.version = aGroup.version.Next();
    mDraft.LogDecision(kGroupWithdrawn, aGroup, "state of a member does not match its order");
  }
  return true;
}

bool
group_lifecycle::AdvanceDraining(group& aGroup)
{
  if (!IsDrained(aGroup)) {
    return true;
  }
  const service_document* document = mDraft.DocumentOf(aGroup.service);
  const bool wanted = document != nullptr && !document->retired && mDraft.HasAllMembers(aGroup) &&
                      mDraft.CountActiveGroups(aGroup.service) < mDraft.DomainShare(aGroup.service);
  const bool lost =
    std::any_of(aGroup.members.begin(), aGroup.members.end(), [&](const group_member& aMember) {
      return MustRemoveMember(aGroup, aMember);
    });
  if (wanted && !lost && DiffersOnlyInAdapter(aGroup.model, document->model)) {
    aGroup.model = document->model;
    aGroup.loads = 0;
    aGroup.state = group_state::loading;
    mDraft.LogDecision(kGroupChanged, aGroup, "adapter " + document->model.adapter);
    return true;
  }
  mDraft.LogDecision(kGroupDropped, aGroup, "drained");
  return false;
}

bool
group_lifecycle::IsDrained(const group& aGroup) const
{
  const auto transition = mDraft.Context().transitions.find(aGroup.id);
  const group_member& head = aGroup.members.front();
  if (transition == mDraft.Context().transitions.end() || mDraft.Context().members.IsLost(head)) {
    return transition != mDraft.Context().transitions.end();
  }
  const duration passed = mDraft.Context().now - transition->second.enteredAt;
  if (passed >= kDrainTimeout) {
    return true;
  }
  const tracked_instance* instance = mDraft.Context().members.Find(head.instance);
  const bool applied = mDraft.Context().appliedByRouters >= transition->second.tableVersion ||
                       passed >= kRouterApplyTimeout;
  if (!applied || !instance->state || instance->stateReadSentAt < transition->second.enteredAt) {
    return false;
  }
  const member_state& state = *instance->state;
  const bool reassigned = state.group != aGroup.id || state.version != aGroup.version ||
                          state.state == engine_state::idle;
  return reassigned || (state.state == engine_state::draining && state.inFlight == 0);
}

bool
group_lifecycle::AreAllMembersReady(const group& aGroup) const
{
  const time_point enteredAt = mDraft.StateEnteredAt(aGroup);
  for (std::size_t rank = 0; rank < aGroup.members.size(); ++rank) {
    const tracked_instance* instance = mDraft.Context().members.Find(aGroup.members[rank].instance);
    if (!instance->state || instance->stateReadSentAt < enteredAt) {
      return false;
    }
    if (instance->TakesOrdersBefore(mDraft.Current().token)) {
      return false;
    }
    if (!instance->listed.checksFencingTokens &&
        instance->stateReadSentAt < mDraft.Context().previousOwnerExpiry) {
      return false;
    }
    if (!IsReadyFor(*instance->state, aGroup, rank)) {
      return false;
    }
  }
  return AreAllMembersPresent(
    *mDraft.Context().members.Find(aGroup.members.front().instance)->state, aGroup);
}

bool
group_lifecycle::HasMismatchedMember(const group& aGroup) const
{
  const time_point enteredAt = mDraft.StateEnteredAt(aGroup);
  for (std::size_t rank = 0; rank < aGroup.members.size(); ++rank) {
    const tracked_instance* instance = mDraft.Context().members.Find(aGroup.members[rank].instance);
    const bool fresh = instance->state && instance->stateReadSentAt >= enteredAt;
    if (fresh && !IsReadyFor(*instance->state, aGroup, rank)) {
      return true;
    }
  }
  return false;
}

} // namespace persimmon::placement
