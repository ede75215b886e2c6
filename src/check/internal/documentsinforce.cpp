#include "check/checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace persimmon::check {
namespace {

using history::event_kind;

constexpr std::string_view kDocumentPrefix = "service/";

/// One router, from its first event on.
struct router_presence
{
  std::string name;
  time_point from;
};

std::vector<router_presence>
RoutersOf(const run_history& aHistory, const check_options& aOptions)
{
  std::map<std::string, time_point> first;
  for (const std::string& name : aOptions.routers) {
    first[name] = {};
  }
  for (const recorded_event& recorded : aHistory.Events()) {
    const event_kind kind = recorded.event.kind;
    if (kind == event_kind::applied || kind == event_kind::attempted) {
      first.try_emplace(recorded.event.process, recorded.event.at);
    }
  }
  std::vector<router_presence> routers;
  routers.reserve(first.size());
  for (const auto& [name, from] : first) {
    routers.push_back({ name, from });
  }
  return routers;
}

/// Looks up who applied what, and when.
class applied_index
{
public:
  explicit applied_index(const run_history& aHistory)
  {
    for (const recorded_event* applied : aHistory.OfKind(event_kind::applied)) {
      mByObject[applied->event.object].push_back(applied);
    }
  }

  /// Returns the first event by which a router had this revision or a later one.
  [[nodiscard]] const recorded_event* First(const std::string& aRouter,
                                            const history::event& aAccepted) const
  {
    return Find(aAccepted, [&](const std::string& aProcess) { return aProcess == aRouter; });
  }

  /// Returns the first such event of any other router.
  [[nodiscard]] const recorded_event* FirstOther(const std::string& aRouter,
                                                 const history::event& aAccepted) const
  {
    return Find(aAccepted, [&](const std::string& aProcess) { return aProcess != aRouter; });
  }

private:
  template<typename Filter>
  const recorded_event* Find(const history::event& aAccepted, Filter aFilter) const
  {
    const auto found = mByObject.find(aAccepted.object);
    if (found == mByObject.end()) {
      return nullptr;
    }
    for (const recorded_event* applied : found->second) {
      if (applied->event.revision >= aAccepted.revision && aFilter(applied->event.process)) {
        return applied;
      }
    }
    return nullptr;
  }

  std::map<std::string, std::vector<const recorded_event*>> mByObject;
};

/// Times in which a router could not learn of a document.
time_spans
UnableToLearn(const run_history& aHistory,
              const applied_index& aApplied,
              const std::string& aRouter,
              const history::event& aAccepted)
{
  constexpr time_point kNever{ INT64_MAX };
  const recorded_event* other = aApplied.FirstOther(aRouter, aAccepted);
  const time_spans noPeerHasIt = { { {}, other == nullptr ? kNever : other->event.at } };
  const time_spans noPeer = Union(noPeerHasIt, aHistory.Faults("partition", aRouter));
  const time_spans cutOff = Intersection(aHistory.Faults("store_down", aRouter), noPeer);
  const time_spans ended =
    Union(aHistory.Faults("kill", aRouter), aHistory.Faults("stop", aRouter));
  const time_spans notRunning = Union(ended, aHistory.Faults("pause", aRouter));
  return Union(cutOff, notRunning);
}

void
CheckRouter(const run_history& aHistory,
            const applied_index& aApplied,
            const router_presence& aRouter,
            const recorded_event& aAccepted,
            duration aBound,
            verdict& aVerdict)
{
  const time_point from = std::max(aAccepted.event.at, aRouter.from);
  const recorded_event* applied = aApplied.First(aRouter.name, aAccepted.event);
  const time_point until = applied != nullptr ? applied->event.at : aHistory.End();
  const time_spans unable = UnableToLearn(aHistory, aApplied, aRouter.name, aAccepted.event);
  const bool late = TimeOutside(unable, from, until) > aBound;
  aVerdict.checked += applied != nullptr || late ? 1 : 0;
  if (late) {
    AddViolation(aVerdict,
                 fmt::format("{} revision {} {} on {}",
                             aAccepted.event.object,
                             aAccepted.event.revision,
                             applied != nullptr ? "came into force late" : "never came into force",
                             aRouter.name),
                 { &aAccepted, applied });
  }
}

void
CheckInForce(const run_history& aHistory, const check_options& aOptions, verdict& aVerdict)
{
  const applied_index applied(aHistory);
  const std::vector<router_presence> routers = RoutersOf(aHistory, aOptions);
  for (const recorded_event* accepted : aHistory.OfKind(event_kind::accepted)) {
    const history::event& event = accepted->event;
    if (!event.object.starts_with(kDocumentPrefix) || event.detail.empty()) {
      continue;
    }
    for (const router_presence& router : routers) {
      CheckRouter(aHistory, applied, router, *accepted, aOptions.inForce, aVerdict);
    }
  }
}

/// Returns whether the router was killed or stopped between the two, which begins another life.
bool
IsOtherLife(const run_history& aHistory, const recorded_event& aBefore, const recorded_event& aNow)
{
  const std::string& router = aNow.event.process;
  const time_spans ends = Union(aHistory.Faults("kill", router), aHistory.Faults("stop", router));
  return std::any_of(ends.begin(), ends.end(), [&](const time_span& aSpan) {
    return aBefore.event.at <= aSpan.from && aSpan.from <= aNow.event.at;
  });
}

void
CheckNeverReverts(const run_history& aHistory, verdict& aVerdict)
{
  std::map<std::pair<std::string, std::string>, const recorded_event*> newest;
  for (const recorded_event* applied : aHistory.OfKind(event_kind::applied)) {
    const auto [place, isFirst] =
      newest.try_emplace({ applied->event.process, applied->event.object }, applied);
    const recorded_event* before = place->second;
    const bool older = applied->event.revision < before->event.revision;
    if (!isFirst && older && !IsOtherLife(aHistory, *before, *applied)) {
      AddViolation(aVerdict,
                   fmt::format("{} went back from revision {} to {} on {}",
                               applied->event.object,
                               before->event.revision,
                               applied->event.revision,
                               applied->event.process),
                   { before, applied });
      continue;
    }
    place->second = applied;
  }
}

/// Finds versions in force that the platform never accepted.
void
CheckAccepted(const run_history& aHistory, verdict& aVerdict)
{
  std::set<std::pair<std::string, std::uint64_t>> accepted;
  for (const recorded_event* recorded : aHistory.OfKind(event_kind::accepted)) {
    accepted.insert({ recorded->event.object, recorded->event.revision });
  }
  for (const recorded_event* applied : aHistory.OfKind(event_kind::applied)) {
    if (!accepted.contains({ applied->event.object, applied->event.revision })) {
      AddViolation(aVerdict,
                   fmt::format("{} applied {} revision {}, which was never accepted",
                               applied->event.process,
                               applied->event.object,
                               applied->event.revision),
                   { applied });
    }
  }
}

} // namespace

verdict
CheckDocumentsInForce(const run_history& aHistory, const check_options& aOptions)
{
  verdict result{ promise::documents_in_force, 0, {} };
  CheckInForce(aHistory, aOptions, result);
  CheckNeverReverts(aHistory, result);
  CheckAccepted(aHistory, result);
  return result;
}

} // namespace persimmon::check
