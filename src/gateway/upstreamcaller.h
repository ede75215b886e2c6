#pragma once

#include "base/clock.h"
#include "base/random.h"
#include "metrics/metrics.h"
#include "paths/pathtable.h"
#include "paths/questionbudget.h"
#include "paths/relaypeers.h"
#include "upstream/upstreamloop.h"

#include <concepts>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmon::gateway {

/// Executes calls, as upstream::upstream_loop does.
template<typename L>
concept call_loop = requires(L& aLoop,
                             upstream::upstream_call aCall,
                             upstream::call_handlers aHandlers,
                             upstream::call_id aId)
{
  {
    aLoop.Start(aCall, aHandlers)
    } -> std::same_as<upstream::call_id>;
  aLoop.Cancel(aId);
  aLoop.Pause(aId);
  aLoop.Resume(aId);
};

/// Opens the connections of all calls to upstreams, directly or through the relay of a peer. A call
/// is sent a second time only when no byte of it can have left, so that a relayed call keeps the
/// promises of a direct one: `not_sent` says that neither this process nor the peers that were
/// asked reached the upstream. For use on the event loop's thread only.
template<call_loop Loop, clock_source Clock>
class basic_upstream_caller
{
public:
  /// aCredentials are those that relays ask for.
  basic_upstream_caller(Loop& aLoop,
                        metrics_registry& aMetrics,
                        zone_name aZone,
                        std::string aCredentials,
                        std::uint64_t aSeed,
                        Clock aClock = {})
    : mLoop(aLoop)
    , mMetrics(aMetrics)
    , mCredentials(std::move(aCredentials))
    , mPeers(std::move(aZone))
    , mRandom(aSeed)
    , mClock(std::move(aClock))
  {
  }

  /// Called when this process finds that it is cut off from all upstreams, or no longer is.
  std::function<void()> onCutOffChanged;

  /// Starts a call, as upstream_loop::Start() does. Only the connection differs.
  upstream::call_id Start(upstream::upstream_call&& aCall, upstream::call_handlers&& aHandlers);
  void Cancel(upstream::call_id aCall);
  void Pause(upstream::call_id aCall);
  void Resume(upstream::call_id aCall);

  /// Returns how the connection of a call that has not ended was opened.
  [[nodiscard]] paths::path_kind PathOf(upstream::call_id aCall) const;
  /// Returns since when the direct path to an upstream has been lost; nothing when it is not known
  /// to be.
  [[nodiscard]] std::optional<time_point> DirectLostAt(const endpoint& aUpstream) const
  {
    return mPaths.DirectLostAt(aUpstream);
  }
  /// Number of calls that have not ended.
  [[nodiscard]] std::size_t CallCount() const { return mCalls.size(); }
  [[nodiscard]] bool IsCutOff() const { return mPaths.CutOffSince().has_value(); }
  /// Returns whether this process is in a position to relay for peers: it does not know, and has no
  /// reason to suspect, that it is cut off itself.
  [[nodiscard]] bool MayRelay() const { return !IsCutOff() && !mPaths.MayBeCutOff(); }
  /// Returns whether an upstream is registered at an address.
  [[nodiscard]] bool IsUpstream(const endpoint& aAddress) const
  {
    return mPaths.IsUpstream(aAddress);
  }

  /// Sets the addresses of all upstreams.
  void SetUpstreams(std::set<endpoint> aUpstreams) { mPaths.SetUpstreams(std::move(aUpstreams)); }
  /// Sets the live peers that relay.
  void SetPeers(const std::vector<paths::relay_peer>& aPeers) { mPeers.SetPeers(aPeers); }
  /// Records that an upstream accepted a direct connection of this process.
  void OnDirectConnected(const endpoint& aUpstream);
  /// Tries lost direct paths again; call several times a second.
  void OnFastTick();
  /// Sets the metrics that tell a present state.
  void SetGauges();

private:
  /// A call and the connections that were tried for it.
  struct active_call
  {
    /// Emptied once a connection is established.
    upstream::upstream_call call;
    /// True once a connection was established; then the call is not tried again.
    bool isConnected = false;
    upstream::call_handlers handlers;
    endpoint upstream;
    time_point startedAt;
    /// Start of the present connection.
    time_point connectingAt;
    paths::path_kind path = paths::path_kind::direct;
    /// The peer that relays, or relayed last.
    router_id peer;
    std::set<router_id> triedPeers;
    /// True when the present relayed connection is a question, since the path is not known to be
    /// lost.
    bool isQuestion = false;
    bool hasTriedDirect = false;
    /// The upstream refused the direct connection, before any relayed one.
    bool directRefused = false;
    /// No peer could be asked whether the upstream refuses it as well.
    bool isUnconfirmed = false;
    /// The call of the loop.
    upstream::call_id loopCall;
  };

  /// Opens the connection of a call on its path; directly when no peer is left.
  void Launch(upstream::call_id aId, active_call& aCall);
  void OnConnected(upstream::call_id aId);
  void OnDone(upstream::call_id aId, const upstream::call_outcome& aOutcome);
  /// Opens another connection for a call that was not sent. Returns false when none is left.
  bool TryAgain(upstream::call_id aId, active_call& aCall, const upstream::call_outcome& aOutcome);
  bool TryAgainAfterDirect(active_call& aCall, const upstream::call_outcome& aOutcome);
  bool TryAgainAfterRelay(active_call& aCall, const upstream::call_outcome& aOutcome);
  /// Returns what is left of the time to establish a connection.
  [[nodiscard]] duration TimeToConnect(const active_call& aCall) const;
  [[nodiscard]] bool HasTimeToConnect(const active_call& aCall) const;
  /// Records what a peer's failure to open a tunnel tells. Returns whether the upstream is at
  /// fault.
  bool RecordRelayFailure(const router_id& aPeer, int aStatus);
  /// Asks peers whether they reach an upstream that this process does not reach.
  void AskPeers(const endpoint& aUpstream);
  /// Takes the question to a peer whether it reaches an upstream; returns false when none is left.
  bool TakeQuestion()
  {
    return mQuestions.Take(mClock.Now(), mPaths.IsLongWithoutDirect(mClock.Now()));
  }
  /// Asks one peer, and another that is not in aAsked, up to aLeft in all, when it relays nothing.
  void AskPeer(const endpoint& aUpstream,
               const paths::relay_peer& aPeer,
               const std::set<router_id>& aAsked,
               std::size_t aLeft);
  void TryDirect(const endpoint& aUpstream);
  void OnRelayConnected(const endpoint& aUpstream, const router_id& aPeer);
  [[nodiscard]] std::optional<paths::relay_peer> SelectPeer(const std::set<router_id>& aTried);
  /// Logs and reports that this process is cut off, or no longer is.
  void NotifyChange();

  Loop& mLoop;
  metrics_registry& mMetrics;
  std::string mCredentials;
  paths::path_table mPaths;
  paths::relay_peers mPeers;
  paths::question_budget mQuestions;
  random_source mRandom;
  Clock mClock;
  std::unordered_map<upstream::call_id, active_call> mCalls;
  std::uint64_t mLastCall = 0;
  time_point mDirectTriedAt;
  /// When the cut began that was last reported; nothing when its end was reported.
  std::optional<time_point> mReportedCutOff;
};

/// The one of the gateway.
using upstream_caller = basic_upstream_caller<upstream::upstream_loop, steady_clock>;

} // namespace persimmon::gateway

#include "gateway/internal/upstreamcallerimpl.h"

namespace persimmon::gateway {

// Compiled once, in upstreamcaller.cpp.
extern template class basic_upstream_caller<upstream::upstream_loop, steady_clock>;

} // namespace persimmon::gateway
