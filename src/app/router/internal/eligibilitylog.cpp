#include "app/router/eligibilitylog.h"

#include "base/log.h"
#include "routing/routingevents.h"

namespace persimmon::router {

std::vector<eligibility_change>
eligibility_log::Update(const cluster_board& aBoard, time_point aNow)
{
  using routing::ineligibility;
  std::map<routing::upstream_id, eligibility_change> present;
  std::vector<eligibility_change> changes;
  for (const auto& service : aBoard.Services()) {
    for (const routing::candidate& candidate : service->View()->candidates) {
      const eligibility_change state{
        service->Name(), candidate.target->id, candidate.target->version, candidate.WhyNot(aNow)
      };
      const auto before = mLast.find(state.upstream);
      const bool was = before != mLast.end() && before->second.why == ineligibility::none;
      const bool is = state.why == ineligibility::none;
      if (was != is && !candidate.target->group.Empty()) {
        changes.push_back(state);
      }
      present.emplace(state.upstream, state);
    }
  }
  for (const auto& [upstream, state] : mLast) {
    if (state.why == ineligibility::none && !present.contains(upstream)) {
      changes.push_back({ state.service, upstream, state.version, ineligibility::not_serving });
    }
  }
  mLast = std::move(present);
  return changes;
}

void
LogEligibility(const eligibility_change& aChange)
{
  const std::string version = std::to_string(aChange.version.value);
  if (aChange.why == routing::ineligibility::none) {
    WriteLog(routing::kGroupEligible,
             { { "service", aChange.service.value },
               { "group", aChange.upstream.value },
               { "generation", version } });
  } else {
    WriteLog(routing::kGroupWithdrawn,
             { { "service", aChange.service.value },
               { "group", aChange.upstream.value },
               { "generation", version },
               { "reason", routing::IneligibilityName(aChange.why) } });
  }
}

} // namespace persimmon::router
