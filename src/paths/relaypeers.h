#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmon::paths {

/// A live peer that passes bytes on to upstreams.
struct relay_peer
{
  router_id id;
  zone_name zone;
  /// Address of its relay.
  endpoint address;
};

/// Selects the peers through which upstreams are reached, and remembers which of them reach any.
/// Does no I/O and reads no clock; not thread-safe.
class relay_peers
{
public:
  explicit relay_peers(zone_name aZone)
    : mZone(std::move(aZone))
  {
  }

  /// Sets the live peers; what is known of the others is dropped.
  void SetPeers(const std::vector<relay_peer>& aPeers);
  /// Returns a peer that is not in aTried; nothing when there is none. aRandom spreads the choices
  /// of many processes.
  [[nodiscard]] std::optional<relay_peer> Select(const std::set<router_id>& aTried,
                                                 std::uint64_t aRandom,
                                                 time_point aNow) const;
  void OnStarted(const router_id& aPeer);
  void OnEnded(const router_id& aPeer);
  /// Records that a peer has connected to an upstream.
  void OnConnected(const router_id& aPeer, time_point aNow);
  /// Records that a peer relays nothing, or could not be reached.
  void OnFailed(const router_id& aPeer, time_point aNow);
  /// Records that a peer did not reach an upstream. One that misses several in turn counts as cut
  /// off itself.
  void OnMissed(const router_id& aPeer, time_point aNow);
  /// Returns whether a peer has connected to an upstream lately.
  [[nodiscard]] bool IsProven(const router_id& aPeer, time_point aNow) const;
  [[nodiscard]] std::size_t Count() const { return mPeers.size(); }

private:
  struct peer_state
  {
    relay_peer peer;
    /// Calls of this process that the peer relays.
    std::size_t inFlight = 0;
    /// Upstreams missed since it last connected to one.
    std::size_t misses = 0;
    time_point connectedAt{ INT64_MIN / 2 };
    time_point failedAt{ INT64_MIN / 2 };
  };

  /// Returns how dear a peer is, in calls in flight.
  [[nodiscard]] std::size_t Cost(const peer_state& aState, time_point aNow) const;

  zone_name mZone;
  std::map<router_id, peer_state> mPeers;
};

} // namespace persimmon::paths
