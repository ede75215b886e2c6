#include "app/router/eligibilitylog.h"

#include "app/router/clusterboard.h"
#include "base/log.h"
#include "routing/routingevents.h"

namespace persimmon::router {

void
eligibility_log::Update(const cluster_board& aBoard, time_point aNow)
{
  std::unordered_map<upstream_id, routing::ineligibility> present;
  for (const auto& service : aBoard.Services()) {
    const auto view = service->View();
    for (const routing::candidate& candidate : view->candidates) {
      const routing::ineligibility whyNot = candidate.IneligibilityAt(aNow);
      present.emplace(candidate.target->id, whyNot);
      Tell(*candidate.target, whyNot);
    }
  }
  mTold = std::move(present);
  for (const peers::leaving_message& mark : aBoard.Leaving()) {
    const std::string life = std::to_string(mark.incarnationId.value);
    if (mLeaving.insert(mark.instance.value + "/" + life).second) {
      WriteLog(routing::kLeavingMarked,
               { { "instance", mark.instance.value }, { "incarnation", life } });
    }
  }
}

void
eligibility_log::Tell(const routing::upstream& aUpstream, routing::ineligibility aWhyNot)
{
  const auto before = mTold.find(aUpstream.id);
  const bool wasEligible = before != mTold.end() && before->second == routing::ineligibility::none;
  const bool isEligible = aWhyNot == routing::ineligibility::none;
  if (wasEligible == isEligible) {
    return;
  }
  const std::string generation = std::to_string(aUpstream.generation.value);
  if (isEligible) {
    WriteLog(routing::kGroupEligible,
             { { "service", aUpstream.service.value },
               { "group", aUpstream.id.value },
               { "generation", generation } });
  } else {
    WriteLog(routing::kGroupWithdrawn,
             { { "service", aUpstream.service.value },
               { "group", aUpstream.id.value },
               { "generation", generation },
               { "reason", routing::IneligibilityName(aWhyNot) } });
  }
}

} // namespace persimmon::router
