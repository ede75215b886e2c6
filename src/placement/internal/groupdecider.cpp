#include "placement/internal/groupdecider.h"

#include "placement/internal/groupcheck.h"
#include "placement/placementevents.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::placement {
namespace {

/// A group waits this long for a load slot before it loads without one.
constexpr duration kSlotPatience{ 20'000 };
/// Routers that have not reported the draining table by then are not waited for.
constexpr duration kAppliedBound{ 3000 };
/// A drain that has not ended by then is cut off.
constexpr duration kDrainLimit{ 900'000 };
/// How long the members left of a broken group wait for the missing one while another service
/// waits for instances, at equal weights; and the most at any weights.
constexpr double kHoldMs = 60'000;
constexpr double kLongestHoldMs = 300'000;

duration
HoldTime(const placement_weights& aWeights)
{
  const double ratio = aWeights.downtime / std::max(aWeights.stranded, 1e-9);
  return { static_cast<std::int64_t>(std::min(kHoldMs * ratio, kLongestHoldMs)) };
}

std::string
MemberList(const group& aGroup)
{
  std::string text;
  for (const group_member& member : aGroup.members) {
    text += (text.empty() ? "" : ",") + member.instance.value;
  }
  return text;
}

bool
IsAssigned(const domain_table& aTable, const instance_id& aInstance)
{
  for (const group& entry : aTable.groups) {
    for (const group_member& member : entry.members) {
      if (member.instance == aInstance) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

group_decider::group_decider(const decision_context& aContext,
                             const domain_table& aTable,
                             placement_actions& aActions)
  : mContext(aContext)
  , mTable(aTable)
  , mNext(aTable)
  , mActions(aActions)
{
}

domain_table
group_decider::Decide()
{
  std::erase_if(mNext.groups, [&](group& aGroup) { return !Advance(aGroup); });
  DropExcess();
  CompleteBroken();
  DropHeldTooLong();
  FormMissing();
  BumpChanged();
  mNext.absent = mContext.members.Absent(mContext.now);
  return mNext;
}

void
group_decider::Note(const log_event& aEvent, const group& aGroup, std::string aDetail)
{
  mActions.emplace_back(log_decision{
    aEvent, mTable.domain.value, aGroup.id.value, aGroup.service.value, std::move(aDetail) });
}

const service_document*
group_decider::DocumentOf(const service_name& aService) const
{
  const auto found = mContext.documents.find(aService);
  return found == mContext.documents.end() ? nullptr : &found->second.document;
}

std::int64_t
group_decider::PriorityOf(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  return document == nullptr ? 0 : document->priority;
}

std::uint64_t
group_decider::ShareHere(const service_name& aService) const
{
  return ShareOf(mContext.plan, aService, mTable.domain);
}

std::uint64_t
group_decider::CountActive(const service_name& aService) const
{
  return static_cast<std::uint64_t>(
    std::count_if(mNext.groups.begin(), mNext.groups.end(), [&](const group& aGroup) {
      const bool stopping =
        aGroup.state == group_state::draining || Names(mContext.plan.stops, aGroup.id);
      return aGroup.service == aService && !stopping;
    }));
}

time_point
group_decider::Since(const group& aGroup) const
{
  const auto found = mContext.progress.find(aGroup.id);
  return found == mContext.progress.end() ? mContext.now : found->second.since;
}

bool
group_decider::IsComplete(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  const auto size = static_cast<std::int64_t>(aGroup.members.size());
  return document == nullptr || size == document->capacity.instancesPerReplica;
}

bool
group_decider::IsOutdated(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  if (document == nullptr) {
    return false;
  }
  const auto size = static_cast<std::int64_t>(aGroup.members.size());
  return aGroup.model != document->model || size > document->capacity.instancesPerReplica;
}

bool
group_decider::IsMemberGone(const group& aGroup, const group_member& aMember) const
{
  if (mContext.members.IsLost(aMember)) {
    return true;
  }
  const tracked_instance* instance = mContext.members.Find(aMember.instance);
  const bool unwanted = instance->listed.leaving || mContext.now < instance->excludedUntil;
  return unwanted && aGroup.state != group_state::serving;
}

bool
group_decider::Advance(group& aGroup)
{
  if (aGroup.state == group_state::draining) {
    return AdvanceDraining(aGroup);
  }
  const bool stopped = Names(mContext.plan.stops, aGroup.id);
  if (aGroup.state != group_state::serving && (stopped || IsOutdated(aGroup))) {
    Note(kGroupDropped, aGroup, stopped ? "not wanted any more" : "its document has changed");
    return false;
  }
  if (!Shrink(aGroup)) {
    Note(kGroupDropped, aGroup, "no member is left");
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
group_decider::Shrink(group& aGroup)
{
  if (!mContext.policy.useSpares) {
    AwaitReturn(aGroup);
    return true;
  }
  const std::size_t before = aGroup.members.size();
  std::string gone;
  std::erase_if(aGroup.members, [&](const group_member& aMember) {
    const bool lost = IsMemberGone(aGroup, aMember);
    gone += lost ? " " + aMember.instance.value : "";
    return lost;
  });
  if (aGroup.members.size() < before) {
    aGroup.state = group_state::forming;
    Note(kGroupWithdrawn, aGroup, "lost" + gone);
  }
  const bool kept = mContext.policy.replaceMembers || aGroup.members.size() == before;
  return kept && !aGroup.members.empty();
}

void
group_decider::AwaitReturn(group& aGroup)
{
  for (group_member& member : aGroup.members) {
    const tracked_instance* instance = mContext.members.Find(member.instance);
    if (instance == nullptr || !mContext.members.IsLost(member)) {
      continue;
    }
    aGroup.state = group_state::forming;
    aGroup.loads = 1;
    if (!instance->lost) {
      member.life = instance->state->life;
    }
  }
}

bool
group_decider::MayLoad(const group& aGroup) const
{
  return aGroup.loads == 0 || Names(mContext.plan.loads, aGroup.id) ||
         mContext.now - Since(aGroup) >= kSlotPatience;
}

bool
group_decider::AdvanceForming(group& aGroup)
{
  const bool present =
    std::none_of(aGroup.members.begin(), aGroup.members.end(), [&](const auto& aMember) {
      return mContext.members.IsLost(aMember);
    });
  if (present && IsComplete(aGroup) && MayLoad(aGroup)) {
    aGroup.state = group_state::loading;
    Note(kGroupLoading, aGroup);
  }
  return true;
}

bool
group_decider::AdvanceLoading(group& aGroup)
{
  if (IsWhole(aGroup)) {
    aGroup.state = group_state::serving;
    Note(kGroupServing, aGroup, MemberList(aGroup));
  }
  return true;
}

bool
group_decider::AdvanceServing(group& aGroup)
{
  if (Names(mContext.plan.stops, aGroup.id)) {
    aGroup.state = group_state::draining;
    Note(kGroupDraining, aGroup);
    return true;
  }
  if (HasMismatch(aGroup)) {
    aGroup.state = group_state::loading;
    aGroup.version = aGroup.version.Next();
    Note(kGroupWithdrawn, aGroup, "a member is not what it was ordered to be");
  }
  return true;
}

bool
group_decider::AdvanceDraining(group& aGroup)
{
  if (!IsDrained(aGroup)) {
    return true;
  }
  const service_document* document = DocumentOf(aGroup.service);
  const bool wanted = document != nullptr && !document->retired && IsComplete(aGroup) &&
                      CountActive(aGroup.service) < ShareHere(aGroup.service);
  const bool lost =
    std::any_of(aGroup.members.begin(), aGroup.members.end(), [&](const group_member& aMember) {
      return IsMemberGone(aGroup, aMember);
    });
  if (wanted && !lost && DiffersInAdapterOnly(aGroup.model, document->model)) {
    aGroup.model = document->model;
    aGroup.loads = 0;
    aGroup.state = group_state::loading;
    Note(kGroupChanged, aGroup, "adapter " + document->model.adapter);
    return true;
  }
  Note(kGroupDropped, aGroup, "drained");
  return false;
}

bool
group_decider::IsDrained(const group& aGroup) const
{
  const auto progress = mContext.progress.find(aGroup.id);
  const group_member& head = aGroup.members.front();
  if (progress == mContext.progress.end() || mContext.members.IsLost(head)) {
    return progress != mContext.progress.end();
  }
  const duration passed = mContext.now - progress->second.since;
  if (passed >= kDrainLimit) {
    return true;
  }
  const tracked_instance* instance = mContext.members.Find(head.instance);
  const bool applied = mContext.applied >= progress->second.table || passed >= kAppliedBound;
  if (!applied || !instance->state || instance->stateAsOf < progress->second.since) {
    return false;
  }
  const member_state& state = *instance->state;
  const bool elsewhere = state.group != aGroup.id || state.version != aGroup.version ||
                         state.state == engine_state::idle;
  return elsewhere || (state.state == engine_state::draining && state.inFlight == 0);
}

bool
group_decider::IsWhole(const group& aGroup) const
{
  const time_point since = Since(aGroup);
  for (std::size_t rank = 0; rank < aGroup.members.size(); ++rank) {
    const tracked_instance* instance = mContext.members.Find(aGroup.members[rank].instance);
    if (!instance->state || instance->stateAsOf < since) {
      return false;
    }
    if (!instance->listed.checksFencingTokens && instance->stateAsOf < mContext.settledAt) {
      return false;
    }
    if (!IsReadyFor(*instance->state, aGroup, rank)) {
      return false;
    }
  }
  return HearsAll(*mContext.members.Find(aGroup.members.front().instance)->state, aGroup);
}

bool
group_decider::HasMismatch(const group& aGroup) const
{
  const time_point since = Since(aGroup);
  for (std::size_t rank = 0; rank < aGroup.members.size(); ++rank) {
    const tracked_instance* instance = mContext.members.Find(aGroup.members[rank].instance);
    const bool fresh = instance->state && instance->stateAsOf >= since;
    if (fresh && !IsReadyFor(*instance->state, aGroup, rank)) {
      return true;
    }
  }
  return false;
}

void
group_decider::DropExcess()
{
  std::map<service_name, std::uint64_t> active;
  for (const group& entry : mNext.groups) {
    active[entry.service] = CountActive(entry.service);
  }
  std::vector<const group*> order;
  for (const group& entry : mNext.groups) {
    const bool idle = entry.state == group_state::forming || entry.state == group_state::loading;
    if (idle) {
      order.push_back(&entry);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](const group* aLeft, const group* aRight) {
    const auto key = [](const group* aGroup) {
      return std::pair(aGroup->state == group_state::loading, aGroup->members.size());
    };
    return key(aLeft) < key(aRight);
  });
  std::set<group_id> dropped;
  for (const group* entry : order) {
    if (active[entry->service] > ShareHere(entry->service)) {
      --active[entry->service];
      dropped.insert(entry->id);
      Note(kGroupDropped, *entry, "the plan asks for fewer here");
    }
  }
  std::erase_if(mNext.groups, [&](const group& aGroup) { return dropped.contains(aGroup.id); });
}

std::vector<const tracked_instance*>
group_decider::FreeFor(const model_spec& aModel) const
{
  std::vector<const tracked_instance*> free;
  for (const auto& [id, instance] : mContext.members.All()) {
    // A group that is formed anew starts from instances that were released.
    const bool released = mContext.policy.replaceMembers ||
                          (instance.state.has_value() && instance.state->group.Empty());
    if (released && mContext.members.IsFree(id, mContext.now) && !IsAssigned(mNext, id)) {
      free.push_back(&instance);
    }
  }
  if (!mContext.policy.preferResident) {
    return free;
  }
  std::stable_sort(free.begin(), free.end(), [&](const auto* aLeft, const auto* aRight) {
    return IsResident(*aLeft->state, aModel) > IsResident(*aRight->state, aModel);
  });
  return free;
}

std::uint64_t
group_decider::CountLoads(const group& aGroup) const
{
  std::uint64_t loads = 0;
  for (const group_member& member : aGroup.members) {
    const tracked_instance* instance = mContext.members.Find(member.instance);
    const bool resident =
      instance != nullptr && instance->state && IsResident(*instance->state, aGroup.model);
    loads += resident ? 0 : 1;
  }
  return loads;
}

void
group_decider::StartLoading(group& aGroup)
{
  aGroup.loads = CountLoads(aGroup);
  aGroup.state = aGroup.loads == 0 ? group_state::loading : group_state::forming;
  const tracked_instance* head = mContext.members.Find(aGroup.members.front().instance);
  aGroup.zone = head->listed.zone;
}

void
group_decider::CompleteBroken()
{
  std::vector<group*> broken;
  for (group& entry : mNext.groups) {
    if (entry.state == group_state::forming && !IsComplete(entry)) {
      broken.push_back(&entry);
    }
  }
  std::stable_sort(broken.begin(), broken.end(), [&](const group* aLeft, const group* aRight) {
    return std::pair(PriorityOf(*aLeft), aLeft->members.size()) >
           std::pair(PriorityOf(*aRight), aRight->members.size());
  });
  for (std::size_t index = 0; index < broken.size(); ++index) {
    std::vector<group_id> lower;
    for (std::size_t other = broken.size(); other > index + 1; --other) {
      lower.push_back(broken[other - 1]->id);
    }
    if (Complete(*broken[index], lower)) {
      Note(kGroupRepaired, *broken[index], MemberList(*broken[index]));
    }
  }
  std::erase_if(mNext.groups, [](const group& aGroup) { return aGroup.members.empty(); });
}

bool
group_decider::Complete(group& aGroup, const std::vector<group_id>& aLowerRanked)
{
  const service_document* document = DocumentOf(aGroup.service);
  if (aGroup.members.empty() || document == nullptr) {
    return false;
  }
  const auto size = static_cast<std::size_t>(document->capacity.instancesPerReplica);
  std::vector<group_member> found;
  for (const tracked_instance* instance : FreeFor(aGroup.model)) {
    found.push_back({ instance->listed.id, instance->listed.address, instance->state->life });
  }
  std::vector<std::pair<group*, group_member>> donated;
  for (group& donor : mNext.groups) {
    if (Names(aLowerRanked, donor.id)) {
      for (const group_member& member : donor.members) {
        donated.emplace_back(&donor, member);
      }
    }
  }
  if (aGroup.members.size() + found.size() + donated.size() < size) {
    return false;
  }
  for (const group_member& member : found) {
    if (aGroup.members.size() < size) {
      aGroup.members.push_back(member);
    }
  }
  for (auto& [donor, member] : donated) {
    if (aGroup.members.size() < size) {
      std::erase(donor->members, member);
      aGroup.members.push_back(member);
    }
  }
  StartLoading(aGroup);
  return true;
}

bool
group_decider::IsAnyoneWaiting(const group& aHeld) const
{
  for (const service_document* document : ByPriority()) {
    const bool tooFew = CountActive(document->service) < ShareHere(document->service);
    if (document->service != aHeld.service && tooFew) {
      return true;
    }
  }
  return !mContext.plan.unmet.empty();
}

void
group_decider::DropHeldTooLong()
{
  std::erase_if(mNext.groups, [&](const group& aGroup) {
    const bool held = aGroup.state == group_state::forming && !IsComplete(aGroup);
    const bool expired = mContext.now - Since(aGroup) >= HoldTime(mContext.weights);
    const bool drop = held && expired && IsAnyoneWaiting(aGroup);
    if (drop) {
      Note(kGroupDropped, aGroup, "others wait for its members");
    }
    return drop;
  });
}

std::vector<const service_document*>
group_decider::ByPriority() const
{
  std::vector<const service_document*> documents;
  for (const auto& [name, entry] : mContext.documents) {
    if (entry.document.kind == service_kind::model && !entry.document.retired) {
      documents.push_back(&entry.document);
    }
  }
  std::stable_sort(documents.begin(), documents.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->priority > aRight->priority;
  });
  return documents;
}

void
group_decider::FormMissing()
{
  for (const service_document* document : ByPriority()) {
    std::uint64_t active = CountActive(document->service);
    while (active < ShareHere(document->service) && Form(*document)) {
      ++active;
    }
  }
}

bool
group_decider::Form(const service_document& aDocument)
{
  const auto size = static_cast<std::size_t>(aDocument.capacity.instancesPerReplica);
  const auto free = FreeFor(aDocument.model);
  if (free.size() < size) {
    return false;
  }
  group formed;
  formed.id.value = fmt::format("{}-{}", mTable.domain.value, mContext.random.Hex());
  formed.service = aDocument.service;
  formed.model = aDocument.model;
  formed.version = { 1 };
  for (std::size_t index = 0; index < size; ++index) {
    const tracked_instance& instance = *free[index];
    formed.members.push_back({ instance.listed.id, instance.listed.address, instance.state->life });
  }
  StartLoading(formed);
  Note(kGroupFormed, formed, MemberList(formed));
  mNext.groups.push_back(std::move(formed));
  return true;
}

void
group_decider::BumpChanged()
{
  for (group& entry : mNext.groups) {
    for (const group& before : mTable.groups) {
      const bool changed = before.members != entry.members || before.model != entry.model;
      if (before.id == entry.id && changed) {
        entry.version = before.version.Next();
      }
    }
  }
}

} // namespace persimmon::placement
