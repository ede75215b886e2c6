#include "check/checks.h"

#include <fmt/format.h>

namespace persimmon::check {
namespace {

using leaving_marks = std::map<std::string, std::vector<const recorded_event*>>;

/// Returns the first mark on this life of an instance, or nullptr.
const recorded_event*
MarkOf(const leaving_marks& aMarks, const instance_life& aMember)
{
  const auto found = aMarks.find(aMember.instance);
  if (found == aMarks.end()) {
    return nullptr;
  }
  for (const recorded_event* mark : found->second) {
    const std::uint64_t life = mark->event.incarnation;
    if (life == 0 || aMember.incarnation == 0 || life == aMember.incarnation) {
      return mark;
    }
  }
  return nullptr;
}

std::vector<instance_life>
UpstreamOf(const run_history& aHistory, const history::event& aStarted)
{
  std::vector<instance_life> members;
  if (!aStarted.group.empty()) {
    members = aHistory.Members({ aStarted.group, aStarted.generation });
  }
  members.push_back({ aStarted.instance, aStarted.incarnation });
  return members;
}

/// Time since the mark in which the sender could have learnt of it.
duration
TimeToLearn(const run_history& aHistory, const recorded_event& aMark, const recorded_event& aSent)
{
  const time_spans unable = Union(aHistory.Faults("pause", aSent.event.process),
                                  aHistory.Faults("store_down", aSent.event.process));
  return TimeOutside(unable, aMark.event.at, aSent.event.at);
}

} // namespace

verdict
CheckLeavingUpstreams(const run_history& aHistory, const check_options& aOptions)
{
  verdict result{ promise::leaving_upstreams, 0, {} };
  leaving_marks marks;
  for (const recorded_event* mark : aHistory.OfKind(history::event_kind::leaving)) {
    ++result.checked;
    marks[mark->event.instance].push_back(mark);
  }
  for (const recorded_event* started : aHistory.OfKind(history::event_kind::started)) {
    const recorded_event* dispatch = aHistory.Dispatch(*started);
    const recorded_event& sent = dispatch != nullptr ? *dispatch : *started;
    for (const instance_life& member : UpstreamOf(aHistory, started->event)) {
      const recorded_event* mark = MarkOf(marks, member);
      if (mark == nullptr || TimeToLearn(aHistory, *mark, sent) <= aOptions.leaving) {
        continue;
      }
      AddViolation(result,
                   fmt::format("work was sent to {} {} ms after {} was marked as leaving",
                               started->event.instance,
                               (sent.event.at - mark->event.at).ms,
                               member.instance),
                   { mark, &sent, started });
      break;
    }
  }
  return result;
}

} // namespace persimmon::check
