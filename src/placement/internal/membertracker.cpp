#include "placement/membertracker.h"

#include <algorithm>

namespace persimmon::placement {
namespace {

/// Between reads of a head, or of a member of a group that is about to serve.
constexpr duration kNearInterval{ 500 };
/// Between reads of an instance whose last read failed or that its head does not hear.
constexpr duration kSuspectInterval{ 250 };
/// Between reads of an instance in no group.
constexpr duration kFreeInterval{ 2000 };
/// Between reads of a member that its head watches.
constexpr duration kAuditInterval{ 15000 };
/// Between reads of an instance that is lost.
constexpr duration kLostInterval{ 2000 };
/// An instance that fails to answer for this long is lost.
constexpr duration kSilentTimeout{ 1500 };
/// A head that has not heard a member for this long makes the owner ask the member.
constexpr duration kHeardTimeout{ 1000 };
constexpr unsigned kRefusalsToLose = 2;
constexpr unsigned kFailuresToLose = 2;
/// An instance that is lost so often within the window is kept out of groups for a while.
constexpr unsigned kLossesToExclude = 3;
constexpr duration kLossWindow{ 600'000 };
constexpr duration kFlappingExclusion{ 60'000 };
constexpr duration kStragglerExclusion{ 300'000 };
/// A member is a straggler when its steps take this many times the median of its group,
constexpr std::int64_t kStragglerFactor = 3;
/// in so many reads of its head in a row.
constexpr unsigned kStragglerReads = 10;

const group*
GroupOf(const domain_table& aTable, const instance_id& aInstance, bool& aIsHead)
{
  for (const group& entry : aTable.groups) {
    for (const group_member& member : entry.members) {
      if (member.instance == aInstance) {
        aIsHead = &member == &entry.members.front();
        return &entry;
      }
    }
  }
  return nullptr;
}

duration
IntervalOf(const tracked_instance& aInstance, const group* aGroup, bool aIsHead)
{
  if (aInstance.lost) {
    return kLostInterval;
  }
  if (aInstance.failures > 0) {
    return kSuspectInterval;
  }
  if (aGroup == nullptr) {
    return kFreeInterval;
  }
  return aIsHead || aGroup->state != group_state::serving ? kNearInterval : kAuditInterval;
}

} // namespace

void
member_tracker::OnListed(const std::vector<platform::listed_instance>& aInstances,
                         const domain_name& aDomain,
                         std::set<instance_id> aForeign)
{
  mForeign = std::move(aForeign);
  for (auto& [id, instance] : mInstances) {
    instance.inList = false;
  }
  for (const platform::listed_instance& listed : aInstances) {
    const bool placeable = !listed.isInternal && listed.service.Empty();
    if (listed.domain == aDomain && placeable) {
      tracked_instance& instance = mInstances[listed.id];
      instance.listed = listed;
      instance.inList = true;
    }
  }
}

void
member_tracker::OnTable(const domain_table& aTable)
{
  std::set<instance_id> members;
  for (const group& entry : aTable.groups) {
    for (const group_member& member : entry.members) {
      members.insert(member.instance);
      tracked_instance& instance = mInstances[member.instance];
      if (instance.listed.id.Empty()) {
        instance.listed.id = member.instance;
        instance.listed.address = member.address;
        instance.listed.domain = aTable.domain;
        instance.listed.incarnation = member.life;
        instance.listed.zone = entry.zone;
        // Taken to ignore tokens until it says otherwise.
        instance.listed.checksFencingTokens = false;
      }
    }
  }
  std::erase_if(mInstances, [&](const auto& aEntry) {
    return !aEntry.second.inList && !members.contains(aEntry.first);
  });
}

const tracked_instance*
member_tracker::Find(const instance_id& aInstance) const
{
  const auto found = mInstances.find(aInstance);
  return found == mInstances.end() ? nullptr : &found->second;
}

tracked_instance*
member_tracker::Find(const instance_id& aInstance)
{
  const auto found = mInstances.find(aInstance);
  return found == mInstances.end() ? nullptr : &found->second;
}

void
member_tracker::ReadSoon(const instance_id& aInstance, time_point aNow)
{
  if (tracked_instance* instance = Find(aInstance)) {
    instance->nextRead = std::min(instance->nextRead, aNow);
  }
}

void
member_tracker::Answered(tracked_instance& aInstance, const member_state& aState, time_point aNow)
{
  const bool restarted = aInstance.state && aInstance.state->life != aState.life;
  if (restarted && !aInstance.lost) {
    CountLoss(aInstance, aNow);
  }
  if (aInstance.losses >= kLossesToExclude) {
    aInstance.losses = 0;
    aInstance.excludedUntil = aNow + kFlappingExclusion;
  }
  aInstance.state = aState;
  aInstance.stateAsOf = aInstance.readSent;
  aInstance.failures = 0;
  aInstance.refusals = 0;
  aInstance.lost = false;
}

void
member_tracker::Failed(tracked_instance& aInstance, bool aRefused, time_point aNow)
{
  if (aInstance.failures++ == 0) {
    aInstance.firstFailure = aNow;
  }
  aInstance.refusals = aRefused ? aInstance.refusals + 1 : 0;
  const bool silent =
    aInstance.failures >= kFailuresToLose && aNow - aInstance.firstFailure >= kSilentTimeout;
  const bool lost = silent || aInstance.refusals >= kRefusalsToLose;
  if (lost && !aInstance.lost) {
    aInstance.lost = true;
    CountLoss(aInstance, aNow);
  }
}

void
member_tracker::CountLoss(tracked_instance& aInstance, time_point aNow)
{
  if (aNow - aInstance.firstLoss > kLossWindow) {
    aInstance.losses = 0;
  }
  if (aInstance.losses++ == 0) {
    aInstance.firstLoss = aNow;
  }
}

bool
member_tracker::OnRead(const member_read& aEvent, const domain_table& aTable, time_point aNow)
{
  tracked_instance* instance = Find(aEvent.instance);
  if (instance == nullptr || !instance->reading) {
    return false;
  }
  instance->reading = false;
  if (aEvent.state && aEvent.state->instance == aEvent.instance) {
    Answered(*instance, *aEvent.state, aNow);
    LookThroughHead(*aEvent.state, aTable, aNow);
  } else {
    Failed(*instance, aEvent.refused, aNow);
  }
  bool isHead = false;
  const group* entry = GroupOf(aTable, aEvent.instance, isHead);
  instance->nextRead = aNow + IntervalOf(*instance, entry, isHead);
  return true;
}

void
member_tracker::LookThroughHead(const member_state& aHead,
                                const domain_table& aTable,
                                time_point aNow)
{
  bool isHead = false;
  const group* entry = GroupOf(aTable, aHead.instance, isHead);
  if (entry == nullptr || !isHead || entry->state != group_state::serving) {
    return;
  }
  for (const group_member& member : entry->members) {
    const auto heard =
      std::find_if(aHead.members.begin(), aHead.members.end(), [&](const heard_member& aHeard) {
        return aHeard.instance == member.instance;
      });
    const bool present = heard != aHead.members.end() && heard->heard < kHeardTimeout &&
                         heard->version == entry->version && heard->life == member.life &&
                         heard->state == engine_state::ready;
    if (!present) {
      ReadSoon(member.instance, aNow);
    }
  }
  JudgeSteps(aHead, aNow);
}

void
member_tracker::JudgeSteps(const member_state& aHead, time_point aNow)
{
  std::vector<std::int64_t> steps;
  for (const heard_member& heard : aHead.members) {
    steps.push_back(heard.step.ms);
  }
  if (steps.size() < 2) {
    return;
  }
  const auto middle = steps.begin() + static_cast<std::ptrdiff_t>((steps.size() - 1) / 2);
  std::nth_element(steps.begin(), middle, steps.end());
  const std::int64_t limit = std::max<std::int64_t>(*middle, 1) * kStragglerFactor;
  for (const heard_member& heard : aHead.members) {
    tracked_instance* instance = Find(heard.instance);
    if (instance == nullptr) {
      continue;
    }
    instance->slowSteps = heard.step.ms > limit ? instance->slowSteps + 1 : 0;
    if (instance->slowSteps >= kStragglerReads) {
      instance->slowSteps = 0;
      instance->excludedUntil = aNow + kStragglerExclusion;
    }
  }
}

void
member_tracker::OnOrderDone(const order_done& aEvent, time_point aNow)
{
  tracked_instance* instance = Find(aEvent.instance);
  if (instance != nullptr) {
    instance->ordering = false;
    ReadSoon(aEvent.instance, aNow);
  }
}

void
member_tracker::Read(const domain_table& aTable, time_point aNow, placement_actions& aActions)
{
  for (auto& [id, instance] : mInstances) {
    if (!instance.reading && aNow >= instance.nextRead) {
      instance.reading = true;
      instance.readSent = aNow;
      aActions.emplace_back(read_member{ id, instance.listed.address });
    }
  }
  for (const group& entry : aTable.groups) {
    if (entry.state == group_state::serving) {
      continue;
    }
    for (const group_member& member : entry.members) {
      tracked_instance* instance = Find(member.instance);
      if (instance != nullptr && !instance->lost) {
        instance->nextRead = std::min(instance->nextRead, aNow + kNearInterval);
      }
    }
  }
}

bool
member_tracker::IsLost(const group_member& aMember) const
{
  const tracked_instance* instance = Find(aMember.instance);
  if (instance == nullptr) {
    return true;
  }
  return instance->lost || (instance->state && instance->state->life != aMember.life);
}

bool
member_tracker::IsForeign(const instance_id& aInstance) const
{
  return mForeign.contains(aInstance);
}

bool
member_tracker::IsFree(const instance_id& aInstance, time_point aNow) const
{
  const tracked_instance* instance = Find(aInstance);
  return instance != nullptr && instance->inList && !instance->listed.leaving &&
         instance->state.has_value() && !instance->lost && instance->failures == 0 &&
         aNow >= instance->excludedUntil && !IsForeign(aInstance);
}

std::vector<instance_id>
member_tracker::Absent(time_point aNow) const
{
  std::vector<instance_id> absent;
  for (const auto& [id, instance] : mInstances) {
    const bool kept = instance.lost || aNow < instance.excludedUntil;
    if (instance.inList && kept) {
      absent.push_back(id);
    }
  }
  return absent;
}

} // namespace persimmon::placement
