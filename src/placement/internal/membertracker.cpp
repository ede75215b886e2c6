#include "placement/membertracker.h"

#include <algorithm>

namespace persimmon::placement {
namespace {

/// Interval between reads of a head, or of a member of a group that does not serve.
constexpr duration kHeadReadInterval{ 500 };
/// Interval between reads of an instance whose last read failed.
constexpr duration kSuspectReadInterval{ 250 };
/// Interval between reads of an instance in no group.
constexpr duration kFreeReadInterval{ 2000 };
/// Interval between reads of a member of a serving group, which its head monitors.
constexpr duration kMemberReadInterval{ 15000 };
/// Interval between reads of a lost instance.
constexpr duration kLostReadInterval{ 2000 };
/// An instance whose reads have failed for this long is lost.
constexpr duration kUnansweredTimeout{ 1500 };
/// The owner reads a member directly when its head has not received a message from it for this
/// long.
constexpr duration kMemberContactTimeout{ 1000 };
constexpr unsigned kRefusalsUntilLost = 2;
constexpr unsigned kFailuresUntilLost = 2;
/// An instance that is lost this often within kLossWindow is excluded from groups for
/// kFlappingExclusion.
constexpr unsigned kLossesUntilExcluded = 3;
constexpr duration kLossWindow{ 600'000 };
constexpr duration kFlappingExclusion{ 60'000 };
constexpr duration kStragglerExclusion{ 300'000 };
/// A step is slow when it takes more than this many times the median of the group.
constexpr std::int64_t kStragglerFactor = 3;
/// A member is a straggler after slow steps in this many consecutive reads of its head.
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
ReadIntervalOf(const tracked_instance& aInstance, const group* aGroup, bool aIsHead)
{
  if (aInstance.lost) {
    return kLostReadInterval;
  }
  if (aInstance.consecutiveFailures > 0) {
    return kSuspectReadInterval;
  }
  if (aGroup == nullptr) {
    return kFreeReadInterval;
  }
  return aIsHead || aGroup->state != group_state::serving ? kHeadReadInterval : kMemberReadInterval;
}

} // namespace

void
member_tracker::OnListed(const std::vector<platform::listed_instance>& aInstances,
                         const domain_id& aDomain,
                         std::set<instance_id> aHeldElsewhere)
{
  mHeldElsewhere = std::move(aHeldElsewhere);
  for (auto& [id, instance] : mInstances) {
    instance.isListed = false;
  }
  for (const platform::listed_instance& listed : aInstances) {
    const bool placeable = !listed.isInternal && listed.service.Empty();
    if (listed.domain == aDomain && placeable) {
      tracked_instance& instance = mInstances[listed.id];
      instance.listed = listed;
      instance.isListed = true;
    }
  }
}

void
member_tracker::TrackMembersOf(const domain_table& aTable)
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
        instance.listed.incarnation = member.incarnationId;
        instance.listed.zone = entry.zone;
        // An instance missing from the list is assumed to ignore fencing tokens.
        instance.listed.checksFencingTokens = false;
      }
    }
  }
  std::erase_if(mInstances, [&](const auto& aEntry) {
    return !aEntry.second.isListed && !members.contains(aEntry.first);
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
    instance->nextReadAt = std::min(instance->nextReadAt, aNow);
  }
}

void
member_tracker::RecordAnswer(tracked_instance& aInstance,
                             const member_state& aState,
                             time_point aNow)
{
  const bool restarted = aInstance.state && aInstance.state->incarnationId != aState.incarnationId;
  if (restarted && !aInstance.lost) {
    CountLoss(aInstance, aNow);
  }
  if (aInstance.recentLosses >= kLossesUntilExcluded) {
    aInstance.recentLosses = 0;
    aInstance.excludedUntil = aNow + kFlappingExclusion;
  }
  aInstance.state = aState;
  aInstance.stateReadSentAt = aInstance.readSentAt;
  aInstance.consecutiveFailures = 0;
  aInstance.consecutiveRefusals = 0;
  aInstance.lost = false;
}

void
member_tracker::RecordFailure(tracked_instance& aInstance, bool aRefused, time_point aNow)
{
  if (aInstance.consecutiveFailures++ == 0) {
    aInstance.firstFailure = aNow;
  }
  aInstance.consecutiveRefusals = aRefused ? aInstance.consecutiveRefusals + 1 : 0;
  const bool silent = aInstance.consecutiveFailures >= kFailuresUntilLost &&
                      aNow - aInstance.firstFailure >= kUnansweredTimeout;
  const bool lost = silent || aInstance.consecutiveRefusals >= kRefusalsUntilLost;
  if (lost && !aInstance.lost) {
    aInstance.lost = true;
    CountLoss(aInstance, aNow);
  }
}

void
member_tracker::CountLoss(tracked_instance& aInstance, time_point aNow)
{
  if (aNow - aInstance.firstLoss > kLossWindow) {
    aInstance.recentLosses = 0;
  }
  if (aInstance.recentLosses++ == 0) {
    aInstance.firstLoss = aNow;
  }
}

bool
member_tracker::OnRead(const member_read& aEvent, const domain_table& aTable, time_point aNow)
{
  tracked_instance* instance = Find(aEvent.instance);
  if (instance == nullptr || !instance->readInFlight) {
    return false;
  }
  instance->readInFlight = false;
  if (aEvent.state && aEvent.state->instance == aEvent.instance) {
    RecordAnswer(*instance, *aEvent.state, aNow);
    CheckMembersSeenByHead(*aEvent.state, aTable, aNow);
  } else {
    RecordFailure(*instance, aEvent.refused, aNow);
  }
  bool isHead = false;
  const group* entry = GroupOf(aTable, aEvent.instance, isHead);
  instance->nextReadAt = aNow + ReadIntervalOf(*instance, entry, isHead);
  return true;
}

void
member_tracker::CheckMembersSeenByHead(const member_state& aHead,
                                       const domain_table& aTable,
                                       time_point aNow)
{
  bool isHead = false;
  const group* entry = GroupOf(aTable, aHead.instance, isHead);
  if (entry == nullptr || !isHead || entry->state != group_state::serving) {
    return;
  }
  for (const group_member& member : entry->members) {
    const auto observed = std::find_if(
      aHead.members.begin(), aHead.members.end(), [&](const member_observation& aObserved) {
        return aObserved.instance == member.instance;
      });
    const bool present =
      observed != aHead.members.end() && observed->sinceLastMessage < kMemberContactTimeout &&
      observed->version == entry->version && observed->incarnationId == member.incarnationId &&
      observed->state == engine_state::ready;
    if (!present) {
      ReadSoon(member.instance, aNow);
    }
  }
  DetectStragglers(aHead, aNow);
}

void
member_tracker::DetectStragglers(const member_state& aHead, time_point aNow)
{
  std::vector<std::int64_t> steps;
  for (const member_observation& observed : aHead.members) {
    steps.push_back(observed.stepTime.ms);
  }
  if (steps.size() < 2) {
    return;
  }
  const auto middle = steps.begin() + static_cast<std::ptrdiff_t>((steps.size() - 1) / 2);
  std::nth_element(steps.begin(), middle, steps.end());
  const std::int64_t limit = std::max<std::int64_t>(*middle, 1) * kStragglerFactor;
  for (const member_observation& observed : aHead.members) {
    tracked_instance* instance = Find(observed.instance);
    if (instance == nullptr) {
      continue;
    }
    instance->consecutiveSlowReads =
      observed.stepTime.ms > limit ? instance->consecutiveSlowReads + 1 : 0;
    if (instance->consecutiveSlowReads >= kStragglerReads) {
      instance->consecutiveSlowReads = 0;
      instance->excludedUntil = aNow + kStragglerExclusion;
    }
  }
}

void
member_tracker::OnOrderDone(const order_done& aEvent, time_point aNow)
{
  tracked_instance* instance = Find(aEvent.instance);
  if (instance != nullptr) {
    instance->orderInFlight = false;
    ReadSoon(aEvent.instance, aNow);
  }
}

void
member_tracker::SendDueReads(const domain_table& aTable,
                             time_point aNow,
                             placement_actions& aActions)
{
  for (auto& [id, instance] : mInstances) {
    if (!instance.readInFlight && aNow >= instance.nextReadAt) {
      instance.readInFlight = true;
      instance.readSentAt = aNow;
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
        instance->nextReadAt = std::min(instance->nextReadAt, aNow + kHeadReadInterval);
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
  return instance->lost ||
         (instance->state && instance->state->incarnationId != aMember.incarnationId);
}

bool
member_tracker::IsHeldByOtherDomain(const instance_id& aInstance) const
{
  return mHeldElsewhere.contains(aInstance);
}

bool
member_tracker::IsFree(const instance_id& aInstance, time_point aNow) const
{
  const tracked_instance* instance = Find(aInstance);
  return instance != nullptr && instance->isListed && !instance->listed.leaving &&
         instance->state.has_value() && !instance->lost && instance->consecutiveFailures == 0 &&
         aNow >= instance->excludedUntil && !IsHeldByOtherDomain(aInstance);
}

std::vector<instance_id>
member_tracker::UnavailableInstances(time_point aNow) const
{
  std::vector<instance_id> unavailable;
  for (const auto& [id, instance] : mInstances) {
    const bool excluded = instance.lost || aNow < instance.excludedUntil;
    if (instance.isListed && excluded) {
      unavailable.push_back(id);
    }
  }
  return unavailable;
}

} // namespace persimmon::placement
