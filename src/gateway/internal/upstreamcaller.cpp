#include "gateway/upstreamcaller.h"

#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "relay/relaystatus.h"

#include <utility>

namespace persimmon::gateway {
namespace {

using paths::path_kind;

/// A direct connection that fails within this time leaves a call enough time for a relayed one.
constexpr duration kFastFailure = 100_ms;
/// Time from the start of a call in which peers are tried for it.
constexpr duration kMaxRelayTries = 500_ms;
/// Time within which a live upstream accepts a connection that is opened as a check.
constexpr duration kCheckTimeout = 350_ms;
/// Peers that are asked at the same time about one upstream.
constexpr std::size_t kPeersAsked = 2;
/// Peers that are asked in turn when one of them relays nothing.
constexpr std::size_t kAskedInTurn = 3;

upstream::upstream_call
MakeCheck(const endpoint& aUpstream)
{
  upstream::upstream_call check;
  check.address = aUpstream;
  check.connectTimeout = kCheckTimeout;
  check.timeout = kCheckTimeout;
  check.freshConnection = true;
  check.connectOnly = true;
  return check;
}

upstream::call_handlers
CheckHandlers(std::function<void(const upstream::call_outcome&)> aOnDone)
{
  upstream::call_handlers handlers;
  handlers.onHead = [](const upstream::response_head&) {};
  handlers.onData = [](std::string_view) {};
  handlers.onDone = std::move(aOnDone);
  return handlers;
}

} // namespace

upstream_caller::upstream_caller(upstream::upstream_loop& aLoop,
                                 metrics_registry& aMetrics,
                                 zone_name aZone,
                                 std::string aCredentials)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mCredentials(std::move(aCredentials))
  , mPeers(std::move(aZone))
  , mRandom(EntropySeed())
{
}

upstream::call_id
upstream_caller::Start(upstream::upstream_call aCall, upstream::call_handlers aHandlers)
{
  const upstream::call_id id{ ++mLastCall };
  active_call& added = mCalls[id];
  added.upstream = aCall.address;
  added.call = std::move(aCall);
  added.handlers = std::move(aHandlers);
  added.startedAt = steady_clock().Now();
  added.path = mPaths.PathTo(added.upstream);
  Launch(id, added);
  return id;
}

std::optional<paths::relay_peer>
upstream_caller::SelectPeer(const std::set<router_id>& aTried)
{
  return mPeers.Select(aTried, mRandom.Next(), steady_clock().Now());
}

void
upstream_caller::Launch(upstream::call_id aId, active_call& aCall)
{
  const auto peer = aCall.path == path_kind::relayed ? SelectPeer(aCall.triedPeers) : std::nullopt;
  aCall.path = peer ? path_kind::relayed : path_kind::direct;
  upstream::upstream_call call = aCall.call;
  if (peer) {
    aCall.peer = peer->id;
    aCall.triedPeers.insert(peer->id);
    call.tunnel = upstream::call_tunnel{ peer->address, mCredentials };
    mPeers.OnStarted(peer->id);
  }
  upstream::call_handlers handlers;
  handlers.onHead = aCall.handlers.onHead;
  handlers.onData = aCall.handlers.onData;
  handlers.onConnected = [this, aId] { OnConnected(aId); };
  handlers.onDone = [this, aId](const upstream::call_outcome& aOutcome) { OnDone(aId, aOutcome); };
  aCall.connectingAt = steady_clock().Now();
  aCall.loopCall = mLoop.Start(std::move(call), std::move(handlers));
}

void
upstream_caller::OnConnected(upstream::call_id aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  active_call& call = found->second;
  call.call = {};
  mMetrics.Count(kUpstreamConnections, { { "path", PathName(call.path) } });
  if (call.path == path_kind::relayed) {
    OnRelayConnected(call.upstream, call.peer);
  } else {
    OnDirectConnected(call.upstream);
  }
}

void
upstream_caller::OnDirectConnected(const endpoint& aUpstream)
{
  mPaths.OnDirectConnected(aUpstream, steady_clock().Now());
  NotifyChange();
}

void
upstream_caller::OnRelayConnected(const endpoint& aUpstream, const router_id& aPeer)
{
  const time_point now = steady_clock().Now();
  mPeers.OnConnected(aPeer, now);
  mPaths.OnRelayConnected(aUpstream, now);
  NotifyChange();
}

void
upstream_caller::OnDone(upstream::call_id aId, const upstream::call_outcome& aOutcome)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  active_call& call = found->second;
  if (call.path == path_kind::relayed) {
    mPeers.OnEnded(call.peer);
  }
  const bool wasConnectOnly = call.call.connectOnly;
  if (aOutcome.end == upstream::call_end::whole && wasConnectOnly) {
    OnConnected(aId);
  }
  if (aOutcome.end == upstream::call_end::not_sent && TryAgain(aId, call, aOutcome)) {
    return;
  }
  upstream::call_outcome outcome = aOutcome;
  if (outcome.end == upstream::call_end::not_sent && call.path == path_kind::relayed) {
    outcome.refused = outcome.relayStatus == relay::kUpstreamRefused &&
                      (!call.hasTriedDirect || call.directRefused);
  }
  const auto onDone = std::move(call.handlers.onDone);
  mCalls.erase(found);
  onDone(outcome);
}

bool
upstream_caller::TryAgain(upstream::call_id aId,
                          active_call& aCall,
                          const upstream::call_outcome& aOutcome)
{
  const bool again = aCall.path == path_kind::direct ? TryAgainAfterDirect(aCall, aOutcome)
                                                     : TryAgainAfterRelay(aCall, aOutcome);
  if (again) {
    aCall.path = path_kind::relayed;
    Launch(aId, aCall);
  }
  return again;
}

bool
upstream_caller::TryAgainAfterDirect(active_call& aCall, const upstream::call_outcome& aOutcome)
{
  const time_point now = steady_clock().Now();
  aCall.hasTriedDirect = true;
  aCall.directRefused = aOutcome.refused;
  mPaths.OnDirectFailed(aCall.upstream, aCall.connectingAt);
  const bool isFast = now - aCall.startedAt < kFastFailure;
  const bool isLost = mPaths.PathTo(aCall.upstream) == path_kind::relayed;
  if ((isFast || isLost) && SelectPeer(aCall.triedPeers)) {
    return true;
  }
  AskPeers(aCall.upstream);
  return false;
}

bool
upstream_caller::TryAgainAfterRelay(active_call& aCall, const upstream::call_outcome& aOutcome)
{
  const time_point now = steady_clock().Now();
  const bool wasProven = mPeers.IsProven(aCall.peer, now);
  const bool isMissed = RecordRelayFailure(aCall.peer, aOutcome.relayStatus);
  // A peer that reaches others tells that the upstream is at fault; any other may be cut off.
  const bool isFinal = (isMissed && wasProven) || now - aCall.startedAt > kMaxRelayTries;
  if (isMissed && wasProven) {
    mPaths.OnRelayFailed(aCall.upstream);
  }
  return !isFinal && SelectPeer(aCall.triedPeers).has_value();
}

bool
upstream_caller::RecordRelayFailure(const router_id& aPeer, int aStatus)
{
  const time_point now = steady_clock().Now();
  mMetrics.Count(kRelayFailures, { { "status", std::to_string(aStatus) } });
  if (aStatus == relay::kUpstreamRefused || aStatus == relay::kUpstreamSilent) {
    mPeers.OnMissed(aPeer, now);
    return true;
  }
  if (aStatus != relay::kNoPath) {
    mPeers.OnFailed(aPeer, now);
  }
  return false;
}

void
upstream_caller::AskPeers(const endpoint& aUpstream)
{
  if (!mPaths.TakeRelayCheck(aUpstream, steady_clock().Now())) {
    return;
  }
  std::set<router_id> asked;
  for (std::size_t i = 0; i < kPeersAsked; ++i) {
    const auto peer = SelectPeer(asked);
    if (!peer) {
      return;
    }
    AskPeer(aUpstream, asked, kAskedInTurn);
    asked.insert(peer->id);
  }
}

void
upstream_caller::AskPeer(const endpoint& aUpstream, std::set<router_id> aTried, std::size_t aLeft)
{
  const auto peer = aLeft > 0 ? SelectPeer(aTried) : std::nullopt;
  if (!peer) {
    return;
  }
  aTried.insert(peer->id);
  upstream::upstream_call check = MakeCheck(aUpstream);
  check.tunnel = upstream::call_tunnel{ peer->address, mCredentials };
  mLoop.Start(std::move(check),
              CheckHandlers([this, aUpstream, tried = std::move(aTried), id = peer->id, aLeft](
                              const upstream::call_outcome& aOutcome) {
                if (aOutcome.end == upstream::call_end::whole) {
                  OnRelayConnected(aUpstream, id);
                } else if (!RecordRelayFailure(id, aOutcome.relayStatus)) {
                  AskPeer(aUpstream, tried, aLeft - 1);
                }
              }));
}

void
upstream_caller::TryDirect(const endpoint& aUpstream)
{
  const time_point startedAt = steady_clock().Now();
  mLoop.Start(MakeCheck(aUpstream),
              CheckHandlers([this, aUpstream, startedAt](const upstream::call_outcome& aOutcome) {
                if (aOutcome.end == upstream::call_end::whole) {
                  OnDirectConnected(aUpstream);
                  return;
                }
                mPaths.OnDirectFailed(aUpstream, startedAt);
                AskPeers(aUpstream);
              }));
}

void
upstream_caller::OnFastTick()
{
  const time_point now = steady_clock().Now();
  if (now - mDirectTriedAt < paths::path_table::kDirectCheckInterval) {
    return;
  }
  mDirectTriedAt = now;
  for (const endpoint& upstream : mPaths.TakeDirectChecks(now)) {
    TryDirect(upstream);
  }
}

void
upstream_caller::Cancel(upstream::call_id aCall)
{
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  if (found->second.path == path_kind::relayed) {
    mPeers.OnEnded(found->second.peer);
  }
  mLoop.Cancel(found->second.loopCall);
  mCalls.erase(found);
}

void
upstream_caller::Pause(upstream::call_id aCall)
{
  if (const auto found = mCalls.find(aCall); found != mCalls.end()) {
    mLoop.Pause(found->second.loopCall);
  }
}

void
upstream_caller::Resume(upstream::call_id aCall)
{
  if (const auto found = mCalls.find(aCall); found != mCalls.end()) {
    mLoop.Resume(found->second.loopCall);
  }
}

path_kind
upstream_caller::PathOf(upstream::call_id aCall) const
{
  const auto found = mCalls.find(aCall);
  return found == mCalls.end() ? path_kind::direct : found->second.path;
}

void
upstream_caller::SetGauges()
{
  mMetrics.Set(kCutOff, IsCutOff() ? 1 : 0);
  mMetrics.Set(kLostPaths, static_cast<double>(mPaths.LostCount()));
  mMetrics.Set(kRelayPeers, static_cast<double>(mPeers.Count()));
}

void
upstream_caller::NotifyChange()
{
  const std::optional<time_point> present = mPaths.CutOffSince();
  if (present.has_value() == mReportedCutOff.has_value()) {
    return;
  }
  const time_point now = steady_clock().Now();
  const auto lastDirect = mPaths.LastDirectAt();
  if (present) {
    WriteLog(kCutOffFromUpstreams,
             { { "found_after_ms", std::to_string((now - *present).ms) },
               { "lost_paths", std::to_string(mPaths.LostCount()) },
               { "last_connection_ms",
                 lastDirect ? std::to_string((now - *lastDirect).ms) : std::string("none") },
               { "peers", std::to_string(mPeers.Count()) },
               { "outcome", "relayed" } });
  } else {
    WriteLog(kReachesUpstreams,
             { { "after_ms", std::to_string((now - *mReportedCutOff).ms) },
               { "lost_paths", std::to_string(mPaths.LostCount()) },
               { "outcome", "direct" } });
  }
  mReportedCutOff = present;
  if (onCutOffChanged) {
    onCutOffChanged();
  }
}

} // namespace persimmon::gateway
