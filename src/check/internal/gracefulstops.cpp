#include "check/checks.h"
#include "check/membertimeline.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace persimmon::check {
namespace {

using history::event_kind;

constexpr std::string_view kMemberMissing = "member_missing";

/// Causes that no plan brings about; any other cut is a planned one.
constexpr std::array<std::string_view, 5> kUnplannedCauses = { "died",
                                                               "crashed",
                                                               "paused",
                                                               "caller_left",
                                                               kMemberMissing };

/// Refusals by which a caller sees that its answer was broken off.
constexpr std::array<std::string_view, 3> kBrokenOff = { "unfinished", "no_answer", "timeout" };

template<typename List>
bool
Contains(const List& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

/// Returns the report of a member that left the group alive, which only an order brings about, if
/// no member was lost otherwise.
const recorded_event*
OrderedAway(const run_history& aHistory,
            const member_timeline& aTimeline,
            const history::event& aCut)
{
  const group_version group{ aCut.group, aCut.generation };
  const recorded_event* orderedAway = nullptr;
  for (const instance_life& member : aHistory.Members(group)) {
    const member_phase* phase = aTimeline.At(member.instance, aCut.at);
    const bool lost = phase == nullptr || phase->state == member_phase::condition::dead ||
                      phase->state == member_phase::condition::paused ||
                      (member.incarnation != 0 && member.incarnation != phase->incarnation);
    if (lost) {
      return nullptr;
    }
    if (phase->group != group) {
      orderedAway = phase->event;
    }
  }
  return orderedAway;
}

const recorded_event*
LastOrder(const run_history& aHistory, const recorded_event& aCut)
{
  const recorded_event* last = nullptr;
  for (const recorded_event* order : aHistory.OfKind(event_kind::ordered)) {
    const bool concerns = order->event.instance == aCut.event.instance;
    last = concerns && order->event.at <= aCut.event.at ? order : last;
  }
  return last;
}

void
CheckCuts(const run_history& aHistory, verdict& aVerdict)
{
  const member_timeline timeline(aHistory);
  for (const recorded_event* cut : aHistory.OfKind(event_kind::cut)) {
    const history::event& event = cut->event;
    const recorded_event* order = nullptr;
    if (event.detail == kMemberMissing) {
      order = OrderedAway(aHistory, timeline, event);
    } else if (!Contains(kUnplannedCauses, event.detail)) {
      order = LastOrder(aHistory, *cut);
    } else {
      continue;
    }
    const bool planned = event.detail != kMemberMissing || order != nullptr;
    if (planned) {
      AddViolation(
        aVerdict,
        fmt::format("{} cut off attempt {} ({})", event.instance, event.attempt, event.detail),
        { order, cut });
    }
  }
}

/// Finds calls that a router's planned stop broke off.
void
CheckRouterStop(const run_history& aHistory, const recorded_event& aStop, verdict& aVerdict)
{
  for (const auto& [call, events] : aHistory.Calls()) {
    if (events.invoked == nullptr || events.ends.empty()) {
      continue;
    }
    const recorded_event& end = *events.ends.front();
    const bool inFlight =
      events.invoked->event.at < aStop.event.at && aStop.event.at <= end.event.at;
    const bool throughRouter = events.invoked->event.instance == aStop.event.object;
    if (inFlight && throughRouter && Contains(kBrokenOff, end.event.detail)) {
      AddViolation(
        aVerdict,
        fmt::format("{}'s planned stop broke off call {}", aStop.event.instance, call.second),
        { events.invoked, &aStop, &end });
    }
  }
}

bool
IsPlannedStop(const history::event& aEvent)
{
  if (aEvent.kind == event_kind::ordered) {
    return aEvent.detail == "drain";
  }
  return aEvent.kind == event_kind::fault && aEvent.detail == "begin stop" &&
         !aEvent.object.empty();
}

} // namespace

verdict
CheckGracefulStops(const run_history& aHistory)
{
  verdict result{ promise::graceful_stops, 0, {} };
  CheckCuts(aHistory, result);
  for (const recorded_event& recorded : aHistory.Events()) {
    if (!IsPlannedStop(recorded.event)) {
      continue;
    }
    ++result.checked;
    if (recorded.event.kind == event_kind::fault) {
      CheckRouterStop(aHistory, recorded, result);
    }
  }
  return result;
}

} // namespace persimmon::check
