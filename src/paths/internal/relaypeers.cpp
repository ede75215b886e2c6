#include "paths/relaypeers.h"

#include "base/random.h"

#include <algorithm>

namespace persimmon::paths {
namespace {

/// Time for which a peer that relays nothing comes last: in it, all others are tried.
constexpr duration kFailureMemory = 5_s;
/// Time for which a peer that has connected to an upstream comes first.
constexpr duration kSuccessMemory = 5_s;

/// Upstreams that a peer may miss in turn before it counts as cut off.
constexpr std::size_t kMaxMisses = 2;

// Costs are compared with calls in flight.
/// Cost of a peer that failed just now; less by one for each ms since, so that the one that failed
/// first is tried again first, once all others have failed, too.
constexpr std::size_t kFailedCost = 100000;
/// Cost of a peer of which it is not known whether it reaches any upstream.
constexpr std::size_t kUnknownCost = 16;
/// Cost of a peer in another zone: bytes between zones are priced.
constexpr std::size_t kZoneCost = 2;

} // namespace

void
relay_peers::SetPeers(const std::vector<relay_peer>& aPeers)
{
  std::map<router_id, peer_state> present;
  for (const relay_peer& peer : aPeers) {
    const auto known = mPeers.find(peer.id);
    peer_state& state = present[peer.id];
    if (known != mPeers.end() && known->second.peer.address == peer.address) {
      state = known->second;
    }
    state.peer = peer;
  }
  mPeers = std::move(present);
}

std::size_t
relay_peers::Cost(const peer_state& aState, time_point aNow) const
{
  std::size_t cost = aState.inFlight;
  const duration sinceFailure = aNow - aState.failedAt;
  if (sinceFailure < kFailureMemory) {
    cost += kFailedCost - static_cast<std::size_t>(std::max<std::int64_t>(sinceFailure.ms, 0));
  }
  cost += aNow - aState.connectedAt < kSuccessMemory ? 0 : kUnknownCost;
  cost += aState.peer.zone == mZone ? 0 : kZoneCost;
  return cost;
}

std::optional<relay_peer>
relay_peers::Select(const std::set<router_id>& aTried, std::uint64_t aRandom, time_point aNow) const
{
  random_source random(aRandom);
  const peer_state* best = nullptr;
  std::size_t lowest = 0;
  std::uint64_t equals = 0;
  for (const auto& [id, state] : mPeers) {
    if (aTried.contains(id)) {
      continue;
    }
    const std::size_t cost = Cost(state, aNow);
    if (best == nullptr || cost < lowest) {
      best = &state;
      lowest = cost;
      equals = 1;
    } else if (cost == lowest && random.Below(++equals) == 0) {
      best = &state;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->peer);
}

void
relay_peers::OnStarted(const router_id& aPeer)
{
  if (const auto found = mPeers.find(aPeer); found != mPeers.end()) {
    ++found->second.inFlight;
  }
}

void
relay_peers::OnEnded(const router_id& aPeer)
{
  if (const auto found = mPeers.find(aPeer); found != mPeers.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

void
relay_peers::OnConnected(const router_id& aPeer, time_point aNow)
{
  if (const auto found = mPeers.find(aPeer); found != mPeers.end()) {
    found->second.connectedAt = aNow;
    found->second.misses = 0;
    found->second.failedAt = { INT64_MIN / 2 };
  }
}

void
relay_peers::OnFailed(const router_id& aPeer, time_point aNow)
{
  if (const auto found = mPeers.find(aPeer); found != mPeers.end()) {
    found->second.failedAt = aNow;
    found->second.connectedAt = { INT64_MIN / 2 };
  }
}

void
relay_peers::OnMissed(const router_id& aPeer, time_point aNow)
{
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end() && ++found->second.misses >= kMaxMisses) {
    OnFailed(aPeer, aNow);
  }
}

bool
relay_peers::IsProven(const router_id& aPeer, time_point aNow) const
{
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && aNow - found->second.connectedAt < kSuccessMemory;
}

} // namespace persimmon::paths
