#include "app/router/presenceobserver.h"

#include "app/router/headstate.h"
#include "app/router/routerevents.h"
#include "placement/memberstate.h"

namespace persimmon::router {
namespace {

constexpr duration kPollInterval{ 500 };
constexpr duration kPollTimeout{ 450 };

} // namespace

presence_observer::presence_observer(router_id aSelf,
                                     cluster_board& aBoard,
                                     loop::event_loop& aLoop,
                                     group_filter aFilter,
                                     observation_sink aSink)
  : mSelf(std::move(aSelf))
  , mBoard(aBoard)
  , mFilter(std::move(aFilter))
  , mSink(std::move(aSink))
  , mLoop(aLoop)
{
}

void
presence_observer::Start()
{
  mLoop.Post([this] { PollAll(); });
}

void
presence_observer::PollAll()
{
  for (const placement::group& group : mBoard.Groups()) {
    if (!group.members.empty() && mFilter(group)) {
      Poll(group);
    }
  }
  mLoop.After(kPollInterval, [this] { PollAll(); });
}

void
presence_observer::Poll(const placement::group& aGroup)
{
  upstream::upstream_call call;
  call.address = aGroup.members.front().address;
  call.target = "/state";
  call.connectTimeout = kPollTimeout;
  call.timeout = kPollTimeout;
  call.maxBodyBytes = placement::kMaxMemberResponseBytes;
  const auto state = std::make_shared<std::string>();
  mLoop.Start(std::move(call),
              { [](const upstream::response_head&) {},
                [state](std::string_view aData) { state->append(aData); },
                [this, state, aGroup](const upstream::call_outcome& aOutcome) {
                  // A head that cannot be reached is not reported: the fault may lie here, and the
                  // evidence expires by itself.
                  if (aOutcome.end == upstream::call_end::whole) {
                    Observed(aGroup, *state);
                  }
                } });
}

void
presence_observer::Observed(const placement::group& aGroup, const std::string& aState)
{
  std::string problem;
  const auto observation = ObserveGroup(aGroup, aState, mSelf, problem);
  if (!observation) {
    WriteLog(kStateNotUnderstood, { { "group", aGroup.id.value }, { "problem", problem } });
    return;
  }
  mBoard.Apply(*observation, steady_clock().Now());
  mSink(*observation);
}

} // namespace persimmon::router
