#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "paths/pathkind.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmon::paths {

/// Decides whether connections to upstreams are opened directly or through a peer. An upstream that
/// this process fails to connect to is reached through a peer once a peer has reached it: then the
/// path is lost and not the upstream. When that is so for several upstreams, and none was reached
/// directly meanwhile, this process counts as cut off from all. Does no I/O and reads no clock; not
/// thread-safe.
class path_table
{
public:
  /// Records that a direct connection was established. One that was open before is no evidence: it
  /// may live on while new ones fail.
  void OnDirectConnected(const endpoint& aUpstream, time_point aNow);
  /// Records that a direct connection could not be established. aStartedAt is when it was begun:
  /// one that was begun before another one succeeded tells nothing of what came after.
  void OnDirectFailed(const endpoint& aUpstream, time_point aStartedAt);
  /// Records that a peer is connected to an upstream.
  void OnRelayConnected(const endpoint& aUpstream, time_point aNow);
  /// Records that no peer that was asked reaches an upstream.
  void OnRelayFailed(const endpoint& aUpstream);
  /// Records that an upstream refused the connection of a peer.
  void OnRelayRefused(const endpoint& aUpstream, time_point aNow);
  /// Returns whether an upstream has refused the connection of a peer lately.
  [[nodiscard]] bool RefusesPeers(const endpoint& aUpstream, time_point aNow) const;

  /// Returns how the next connection to an upstream is to be opened.
  [[nodiscard]] path_kind PathTo(const endpoint& aUpstream) const;
  /// Returns since when the direct path to an upstream has been lost; nothing when it is not known
  /// to be.
  [[nodiscard]] std::optional<time_point> DirectLostAt(const endpoint& aUpstream) const;
  /// Returns since when this process has been cut off from all upstreams; nothing when it is not.
  [[nodiscard]] std::optional<time_point> CutOffSince() const { return mCutOffSince; }
  /// Returns whether this process may be cut off from all upstreams: it has failed to connect to
  /// several, and to none successfully since. Whether peers reach them is not known yet.
  [[nodiscard]] bool MayBeCutOff() const;
  /// Returns whether that has lasted: with many upstreams gone, a few failures in a row are chance.
  [[nodiscard]] bool IsLongWithoutDirect(time_point aNow) const
  {
    return MayBeCutOff() && (!mLastDirectAt || aNow - *mLastDirectAt >= kCutOffSuspicion);
  }
  /// Returns when a direct connection was last established; nothing before the first.
  [[nodiscard]] std::optional<time_point> LastDirectAt() const { return mLastDirectAt; }
  /// Returns the number of upstreams that are reached through peers only.
  [[nodiscard]] std::size_t LostCount() const;

  /// Returns whether peers are to be asked whether they reach an upstream that was not reached
  /// directly. While others are reached directly, the upstream is likely to be gone, and the
  /// questions about it get rarer.
  [[nodiscard]] bool NeedsRelayCheck(const endpoint& aUpstream, time_point aNow) const;
  /// Records that a peer is being asked about an upstream; at one time for several of them.
  void OnRelayCheck(const endpoint& aUpstream, time_point aNow);
  /// Returns the upstreams whose direct path is to be tried now: those with a lost path, and when
  /// there are several, the others as well, so that calls need not find out. To be called every
  /// kDirectCheckInterval.
  std::vector<endpoint> TakeDirectChecks(time_point aNow);
  /// Sets the addresses of all upstreams; what is known of others is dropped.
  void SetUpstreams(std::set<endpoint> aUpstreams);
  [[nodiscard]] bool IsUpstream(const endpoint& aAddress) const
  {
    return mUpstreams.contains(aAddress);
  }

  static constexpr duration kDirectCheckInterval = 250_ms;
  /// Time for which the refusal of a peer's connection is known.
  static constexpr duration kRefusalMemory = 5_s;
  /// Time without a direct connection, beside several failures, that makes a cut likely.
  static constexpr duration kCutOffSuspicion = 800_ms;

private:
  /// An upstream that was not reached directly since the last success.
  struct failed_path
  {
    time_point firstFailedAt;
    time_point relayCheckedAt{ INT64_MIN / 2 };
    /// Time from the last question to peers to the next one.
    duration relayCheckInterval;
    time_point directCheckedAt{ INT64_MIN / 2 };
    time_point refusedPeerAt{ INT64_MIN / 2 };
    /// A peer reaches the upstream.
    bool isRelayed = false;
  };

  void UpdateCutOff();
  /// Returns the time from the last question about an upstream to the next one.
  [[nodiscard]] duration RelayCheckInterval(const failed_path& aPath) const;
  /// Returns whether nothing was connected directly since a path failed.
  [[nodiscard]] bool IsSinceLastDirect(const failed_path& aPath) const
  {
    return !mLastDirectAt || aPath.firstFailedAt >= *mLastDirectAt;
  }
  /// Returns whether so many paths speak for a cut from all.
  [[nodiscard]] bool SufficeForCutOff(std::size_t aPaths) const;
  /// Returns lost paths, those first that were not tried for longest.
  [[nodiscard]] std::vector<endpoint> LostPaths() const;
  /// Adds upstreams without a failure to aChecks, in turn.
  void AddSoundPaths(std::vector<endpoint>& aChecks);

  std::map<endpoint, failed_path> mFailed;
  std::optional<time_point> mLastDirectAt;
  std::optional<time_point> mCutOffSince;
  std::set<endpoint> mUpstreams;
  /// The last upstream without a failure that was taken for a check.
  endpoint mLastChecked;
};

} // namespace persimmon::paths
