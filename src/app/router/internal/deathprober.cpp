#include "app/router/deathprober.h"

#include "app/router/headstate.h"
#include "placement/memberstate.h"

#include <algorithm>
#include <memory>

namespace persimmon::router {
namespace {

constexpr duration kProbeTimeout{ 300 };

} // namespace

death_prober::death_prober(cluster_board& aBoard, loop::event_loop& aLoop)
  : mBoard(aBoard)
  , mLoop(aLoop)
{
}

bool
death_prober::ShowsDeath(const routing::upstream& aUpstream, const std::string& aState) const
{
  if (aUpstream.group.Empty()) {
    return false;
  }
  const auto groups = mBoard.Groups();
  const auto found =
    std::find_if(groups.begin(), groups.end(), [&aUpstream](const placement::group& aGroup) {
      return aGroup.id == aUpstream.group && aGroup.version == aUpstream.generation;
    });
  if (found == groups.end()) {
    return false;
  }
  std::string problem;
  const auto observed = ObserveGroup(*found, aState, {}, problem);
  return observed && !observed->complete;
}

void
death_prober::Probe(const routing::upstream& aUpstream, std::function<void(bool aDied)> aDone)
{
  upstream::upstream_call call;
  call.address = aUpstream.address;
  call.target = "/state";
  call.connectTimeout = kProbeTimeout;
  call.timeout = kProbeTimeout;
  call.maxBodyBytes = placement::kMaxMemberResponseBytes;
  call.freshConnection = true;
  // A plain service would take the question for a call of a customer.
  call.connectOnly = aUpstream.group.Empty();
  const auto state = std::make_shared<std::string>();
  mLoop.Start(
    std::move(call),
    { [](const upstream::response_head&) {},
      [state](std::string_view aData) { state->append(aData); },
      [this, state, aUpstream, done = std::move(aDone)](const upstream::call_outcome& aOutcome) {
        const bool closed = aOutcome.end == upstream::call_end::not_sent && aOutcome.refused;
        const bool answered = aOutcome.end == upstream::call_end::whole;
        done(closed || (answered && ShowsDeath(aUpstream, *state)));
      } });
}

} // namespace persimmon::router
