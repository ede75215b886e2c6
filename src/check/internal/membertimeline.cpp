#include "check/membertimeline.h"

#include <algorithm>

namespace persimmon::check {
namespace {

using condition = member_phase::condition;

/// Returns the condition that a report tells of; aBeforePause is what a paused instance was.
condition
ConditionOf(const std::string& aDetail, condition aBeforePause)
{
  if (aDetail == "ready" || aDetail == "draining") {
    return condition::working;
  }
  if (aDetail == "died") {
    return condition::dead;
  }
  if (aDetail == "paused") {
    return condition::paused;
  }
  return aDetail == "resumed" ? aBeforePause : condition::unready;
}

} // namespace

member_timeline::member_timeline(const run_history& aHistory)
{
  std::map<std::string, condition> beforePause;
  for (const recorded_event* recorded : aHistory.OfKind(history::event_kind::membership)) {
    const history::event& event = recorded->event;
    condition& kept = beforePause[event.instance];
    const condition now = ConditionOf(event.detail, kept);
    kept = now == condition::paused ? kept : now;
    mPhases[event.instance].push_back(
      { event.at, now, { event.group, event.generation }, event.incarnation, recorded });
  }
}

const member_phase*
member_timeline::At(const std::string& aInstance, time_point aTime) const
{
  const auto found = mPhases.find(aInstance);
  if (found == mPhases.end()) {
    return nullptr;
  }
  const member_phase* last = nullptr;
  for (const member_phase& phase : found->second) {
    if (phase.from > aTime) {
      break;
    }
    last = &phase;
  }
  return last;
}

bool
member_timeline::WorkedWithin(const instance_life& aMember,
                              const group_version& aGroup,
                              time_point aFrom,
                              time_point aTo) const
{
  const auto found = mPhases.find(aMember.instance);
  if (found == mPhases.end()) {
    return false;
  }
  const std::vector<member_phase>& phases = found->second;
  for (std::size_t index = 0; index < phases.size() && phases[index].from <= aTo; ++index) {
    const member_phase& phase = phases[index];
    const bool ended = index + 1 < phases.size() && phases[index + 1].from < aFrom;
    const bool sameLife = aMember.incarnation == 0 || aMember.incarnation == phase.incarnation;
    if (!ended && sameLife && phase.state == condition::working && phase.group == aGroup) {
      return true;
    }
  }
  return false;
}

} // namespace persimmon::check
