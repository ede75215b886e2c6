#include "app/router/lostupstreams.h"

namespace persimmon::router {
namespace {

/// Silence beyond the end of the evidence after which a group counts as lost. A pause of the
/// observers alone must not cut off the requests of sound groups.
constexpr duration kSilenceGrace = 3_s;

} // namespace

bool
IsLost(const routing::candidate& aCandidate, time_point aNow)
{
  using routing::ineligibility;
  switch (aCandidate.IneligibilityAt(aNow)) {
    case ineligibility::members_mismatch:
    case ineligibility::generation_superseded:
    case ineligibility::member_restarted:
      return true;
    case ineligibility::evidence_expired:
      return aCandidate.evidenceExpiresAt + kSilenceGrace < aNow;
    default:
      return false;
  }
}

std::vector<lost_upstream>
lost_upstreams::Update(const cluster_board& aBoard, time_point aNow)
{
  std::set<lost_upstream> lost;
  for (const auto& service : aBoard.Services()) {
    // Held over the loop, since another thread may replace the view.
    const std::shared_ptr<const routing::service_view> view = service->View();
    for (const routing::candidate& candidate : view->candidates) {
      if (IsLost(candidate, aNow)) {
        lost.insert({ service->Name(), candidate.target->id, candidate.target->generation });
      }
    }
  }
  std::vector<lost_upstream> news;
  for (const lost_upstream& one : lost) {
    if (!mTold.contains(one)) {
      news.push_back(one);
    }
  }
  mTold = std::move(lost);
  return news;
}

} // namespace persimmon::router
