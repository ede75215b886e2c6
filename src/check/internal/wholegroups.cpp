#include "check/checks.h"
#include "check/membertimeline.h"

#include <fmt/format.h>

namespace persimmon::check {
namespace {

const recorded_event*
LastReport(const member_timeline& aTimeline, const std::string& aInstance, time_point aTime)
{
  const member_phase* phase = aTimeline.At(aInstance, aTime);
  return phase == nullptr ? nullptr : phase->event;
}

} // namespace

verdict
CheckWholeGroups(const run_history& aHistory, const check_options& aOptions)
{
  verdict result{ promise::whole_groups, 0, {} };
  const member_timeline timeline(aHistory);
  for (const recorded_event* started : aHistory.OfKind(history::event_kind::started)) {
    const history::event& event = started->event;
    if (event.group.empty()) {
      continue;
    }
    ++result.checked;
    const group_version group{ event.group, event.generation };
    const std::vector<instance_life>& members = aHistory.Members(group);
    if (members.empty()) {
      AddViolation(result,
                   fmt::format("{} runs a request in {} generation {}, whose members nobody knows",
                               event.instance,
                               group.group,
                               group.generation),
                   { started });
    }
    const time_point from = aHistory.SentAt(*started) - aOptions.memberLoss;
    for (const instance_life& member : members) {
      if (timeline.WorkedWithin(member, group, from, event.at)) {
        continue;
      }
      AddViolation(
        result,
        fmt::format("{} generation {} runs a request without its member {}",
                    group.group,
                    group.generation,
                    member.instance),
        { LastReport(timeline, member.instance, event.at), aHistory.Dispatch(*started), started });
    }
  }
  return result;
}

} // namespace persimmon::check
