#pragma once

// Definitions of the class template in gateway/upstreamcaller.h.

#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "relay/relaystatus.h"

#include <algorithm>
#include <utility>

namespace persimmon::gateway {
namespace caller_limits {

/// A direct connection that fails within this time leaves a call enough time for a relayed one.
constexpr duration kFastFailure = 100_ms;
/// A connection is not tried in less time than this.
constexpr duration kMinConnectTime = 80_ms;
/// Time within which a live upstream accepts a connection that is opened as a check.
constexpr duration kCheckTimeout = 350_ms;
/// Peers that are tried for one call.
constexpr std::size_t kMaxPeersTried = 3;
/// Peers that are asked at the same time about one upstream.
constexpr std::size_t kPeersAsked = 2;
/// Peers that are asked in turn when one of them relays nothing.
constexpr std::size_t kAskedInTurn = 8;

} // namespace caller_limits

/// Returns a call that only connects.
inline upstream::upstream_call
MakeConnectionCheck(const endpoint& aUpstream)
{
  upstream::upstream_call check;
  check.address = aUpstream;
  check.connectTimeout = caller_limits::kCheckTimeout;
  check.timeout = caller_limits::kCheckTimeout;
  check.freshConnection = true;
  check.connectOnly = true;
  return check;
}

inline upstream::call_handlers
ConnectionCheckHandlers(std::function<void(const upstream::call_outcome&)> aOnDone)
{
  upstream::call_handlers handlers;
  handlers.onHead = [](const upstream::response_head&) {};
  handlers.onData = [](std::string_view) {};
  handlers.onDone = std::move(aOnDone);
  return handlers;
}

template<call_loop Loop, clock_source Clock>
upstream::call_id
basic_upstream_caller<Loop, Clock>::Start(upstream::upstream_call&& aCall,
                                          upstream::call_handlers&& aHandlers)
{
  const upstream::call_id id{ ++mLastCall };
  active_call& added = mCalls[id];
  added.upstream = aCall.address;
  added.call = std::move(aCall);
  added.handlers = std::move(aHandlers);
  added.startedAt = mClock.Now();
  added.path = mPaths.PathTo(added.upstream);
  Launch(id, added);
  return id;
}

template<call_loop Loop, clock_source Clock>
std::optional<paths::relay_peer>
basic_upstream_caller<Loop, Clock>::SelectPeer(const std::set<router_id>& aTried)
{
  return mPeers.Select(aTried, mRandom.Next(), mClock.Now());
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::Launch(upstream::call_id aId, active_call& aCall)
{
  const auto peer =
    aCall.path == paths::path_kind::relayed ? SelectPeer(aCall.triedPeers) : std::nullopt;
  aCall.path = peer ? paths::path_kind::relayed : paths::path_kind::direct;
  upstream::upstream_call call = aCall.call;
  if (peer) {
    aCall.peer = peer->id;
    aCall.triedPeers.insert(peer->id);
    call.tunnel = upstream::call_tunnel{ peer->address, mCredentials };
    // A kept tunnel would hold up the planned stop of the peer.
    call.freshConnection = true;
    mPeers.OnStarted(peer->id);
  }
  upstream::call_handlers handlers;
  handlers.onHead = aCall.handlers.onHead;
  handlers.onData = aCall.handlers.onData;
  handlers.mayBeSent = aCall.handlers.mayBeSent;
  handlers.onConnected = [this, aId] { OnConnected(aId); };
  handlers.onDone = [this, aId](const upstream::call_outcome& aOutcome) { OnDone(aId, aOutcome); };
  aCall.connectingAt = mClock.Now();
  // The times of a call hold for all its connections together.
  call.connectTimeout = TimeToConnect(aCall);
  if (call.timeout.ms > 0) {
    call.timeout = std::max(call.timeout - (aCall.connectingAt - aCall.startedAt), duration{ 1 });
  }
  aCall.loopCall = mLoop.Start(std::move(call), std::move(handlers));
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::OnConnected(upstream::call_id aId)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  active_call& call = found->second;
  call.call = {};
  call.isConnected = true;
  mMetrics.Count(kUpstreamConnections, { { "path", PathName(call.path) } });
  if (call.path == paths::path_kind::relayed) {
    if (call.isQuestion) {
      mQuestions.OnPathFound();
    }
    OnRelayConnected(call.upstream, call.peer);
  } else {
    OnDirectConnected(call.upstream);
  }
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::OnDirectConnected(const endpoint& aUpstream)
{
  mPaths.OnDirectConnected(aUpstream, mClock.Now());
  NotifyChange();
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::OnRelayConnected(const endpoint& aUpstream,
                                                     const router_id& aPeer)
{
  const time_point now = mClock.Now();
  mPeers.OnConnected(aPeer, now);
  mPaths.OnRelayConnected(aUpstream, now);
  NotifyChange();
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::OnDone(upstream::call_id aId,
                                           const upstream::call_outcome& aOutcome)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  active_call& call = found->second;
  if (call.path == paths::path_kind::relayed) {
    mPeers.OnEnded(call.peer);
  }
  const bool wasConnectOnly = call.call.connectOnly;
  if (aOutcome.end == upstream::call_end::whole && wasConnectOnly) {
    OnConnected(aId);
  }
  const bool mayTryAgain = aOutcome.end == upstream::call_end::not_sent && !call.isConnected;
  if (mayTryAgain && TryAgain(aId, call, aOutcome)) {
    return;
  }
  upstream::call_outcome outcome = aOutcome;
  outcome.refused = outcome.refused && !call.isUnconfirmed;
  if (outcome.end == upstream::call_end::not_sent && call.path == paths::path_kind::relayed) {
    outcome.refused = outcome.relayStatus == relay::kUpstreamRefused &&
                      (!call.hasTriedDirect || call.directRefused);
  }
  const auto onDone = std::move(call.handlers.onDone);
  mCalls.erase(found);
  onDone(outcome);
}

template<call_loop Loop, clock_source Clock>
bool
basic_upstream_caller<Loop, Clock>::TryAgain(upstream::call_id aId,
                                             active_call& aCall,
                                             const upstream::call_outcome& aOutcome)
{
  const bool again = aCall.path == paths::path_kind::direct ? TryAgainAfterDirect(aCall, aOutcome)
                                                            : TryAgainAfterRelay(aCall, aOutcome);
  if (again) {
    aCall.path = paths::path_kind::relayed;
    Launch(aId, aCall);
  }
  return again;
}

template<call_loop Loop, clock_source Clock>
bool
basic_upstream_caller<Loop, Clock>::TryAgainAfterDirect(active_call& aCall,
                                                        const upstream::call_outcome& aOutcome)
{
  const time_point now = mClock.Now();
  aCall.hasTriedDirect = true;
  aCall.directRefused = aOutcome.refused;
  mPaths.OnDirectFailed(aCall.upstream, aCall.connectingAt);
  const bool isFast = now - aCall.startedAt < caller_limits::kFastFailure;
  const bool isLost = mPaths.PathTo(aCall.upstream) == paths::path_kind::relayed;
  if ((isFast || isLost) && HasTimeToConnect(aCall) && SelectPeer(aCall.triedPeers)) {
    aCall.isQuestion = !isLost;
    if (isLost || TakeQuestion()) {
      return true;
    }
    aCall.isUnconfirmed = !mPaths.RefusesPeers(aCall.upstream, now);
  }
  AskPeers(aCall.upstream);
  return false;
}

template<call_loop Loop, clock_source Clock>
bool
basic_upstream_caller<Loop, Clock>::TryAgainAfterRelay(active_call& aCall,
                                                       const upstream::call_outcome& aOutcome)
{
  const time_point now = mClock.Now();
  const bool wasProven = mPeers.IsProven(aCall.peer, now);
  const bool isMissed = RecordRelayFailure(aCall.peer, aOutcome.relayStatus);
  if (aOutcome.relayStatus == relay::kUpstreamRefused) {
    mPaths.OnRelayRefused(aCall.upstream, now);
  }
  // A peer that reaches others tells that the upstream is at fault; any other may be cut off.
  const bool isFinal =
    (isMissed && wasProven) || aCall.triedPeers.size() >= caller_limits::kMaxPeersTried;
  if (isMissed && wasProven) {
    mPaths.OnRelayFailed(aCall.upstream);
  }
  const bool mayTry = !isFinal && HasTimeToConnect(aCall) && SelectPeer(aCall.triedPeers);
  if (mayTry && (!aCall.isQuestion || TakeQuestion())) {
    return true;
  }
  if (aCall.isQuestion) {
    AskPeers(aCall.upstream);
  }
  return false;
}

template<call_loop Loop, clock_source Clock>
duration
basic_upstream_caller<Loop, Clock>::TimeToConnect(const active_call& aCall) const
{
  return aCall.call.connectTimeout - (mClock.Now() - aCall.startedAt);
}

template<call_loop Loop, clock_source Clock>
bool
basic_upstream_caller<Loop, Clock>::HasTimeToConnect(const active_call& aCall) const
{
  return TimeToConnect(aCall) >= caller_limits::kMinConnectTime;
}

template<call_loop Loop, clock_source Clock>
bool
basic_upstream_caller<Loop, Clock>::RecordRelayFailure(const router_id& aPeer, int aStatus)
{
  const time_point now = mClock.Now();
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

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::AskPeers(const endpoint& aUpstream)
{
  if (mPeers.Count() == 0 || !mPaths.NeedsRelayCheck(aUpstream, mClock.Now())) {
    return;
  }
  std::set<router_id> asked;
  for (std::size_t i = 0; i < caller_limits::kPeersAsked; ++i) {
    const auto peer = SelectPeer(asked);
    if (peer && TakeQuestion()) {
      mPaths.OnRelayCheck(aUpstream, mClock.Now());
      asked.insert(peer->id);
      AskPeer(aUpstream, *peer, asked, caller_limits::kAskedInTurn);
    }
  }
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::AskPeer(const endpoint& aUpstream,
                                            const paths::relay_peer& aPeer,
                                            const std::set<router_id>& aAsked,
                                            std::size_t aLeft)
{
  upstream::upstream_call check = MakeConnectionCheck(aUpstream);
  check.tunnel = upstream::call_tunnel{ aPeer.address, mCredentials };
  const auto onDone =
    [this, aUpstream, id = aPeer.id, aAsked, aLeft](const upstream::call_outcome& aOutcome) {
      if (aOutcome.end == upstream::call_end::whole) {
        mQuestions.OnPathFound();
        OnRelayConnected(aUpstream, id);
        return;
      }
      const bool isMissed = RecordRelayFailure(id, aOutcome.relayStatus);
      if (aOutcome.relayStatus == relay::kUpstreamRefused) {
        mPaths.OnRelayRefused(aUpstream, mClock.Now());
      }
      const auto next = isMissed || aLeft <= 1 ? std::nullopt : SelectPeer(aAsked);
      if (next && TakeQuestion()) {
        std::set<router_id> asked = aAsked;
        asked.insert(next->id);
        AskPeer(aUpstream, *next, asked, aLeft - 1);
      }
    };
  mLoop.Start(std::move(check), ConnectionCheckHandlers(onDone));
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::TryDirect(const endpoint& aUpstream)
{
  const time_point startedAt = mClock.Now();
  mLoop.Start(
    MakeConnectionCheck(aUpstream),
    ConnectionCheckHandlers([this, aUpstream, startedAt](const upstream::call_outcome& aOutcome) {
      if (aOutcome.end == upstream::call_end::whole) {
        OnDirectConnected(aUpstream);
        return;
      }
      mPaths.OnDirectFailed(aUpstream, startedAt);
      AskPeers(aUpstream);
    }));
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::OnFastTick()
{
  const time_point now = mClock.Now();
  if (now - mDirectTriedAt < paths::path_table::kDirectCheckInterval) {
    return;
  }
  mDirectTriedAt = now;
  for (const endpoint& upstream : mPaths.TakeDirectChecks(now)) {
    TryDirect(upstream);
  }
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::Cancel(upstream::call_id aCall)
{
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  if (found->second.path == paths::path_kind::relayed) {
    mPeers.OnEnded(found->second.peer);
  }
  mLoop.Cancel(found->second.loopCall);
  mCalls.erase(found);
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::Pause(upstream::call_id aCall)
{
  if (const auto found = mCalls.find(aCall); found != mCalls.end()) {
    mLoop.Pause(found->second.loopCall);
  }
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::Resume(upstream::call_id aCall)
{
  if (const auto found = mCalls.find(aCall); found != mCalls.end()) {
    mLoop.Resume(found->second.loopCall);
  }
}

template<call_loop Loop, clock_source Clock>
paths::path_kind
basic_upstream_caller<Loop, Clock>::PathOf(upstream::call_id aCall) const
{
  const auto found = mCalls.find(aCall);
  return found == mCalls.end() ? paths::path_kind::direct : found->second.path;
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::SetGauges()
{
  mMetrics.Set(kCutOff, IsCutOff() ? 1 : 0);
  mMetrics.Set(kLostPaths, static_cast<double>(mPaths.LostCount()));
  mMetrics.Set(kRelayPeers, static_cast<double>(mPeers.Count()));
}

template<call_loop Loop, clock_source Clock>
void
basic_upstream_caller<Loop, Clock>::NotifyChange()
{
  const std::optional<time_point> present = mPaths.CutOffSince();
  if (present.has_value() == mReportedCutOff.has_value()) {
    return;
  }
  const time_point now = mClock.Now();
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
