#pragma once

#include "dispatch/limitobservation.h"
#include "dispatch/liverouters.h"
#include "dispatch/permitbucket.h"
#include "dispatch/ratelimitplan.h"
#include "peers/messages.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace persimmon::dispatch {

/// Interval at which a limit that goes on being stated is told to the other routers again.
constexpr duration kLimitRenewalInterval = 2_s;
/// Time after the last statement about an upstream until it is forgotten.
constexpr duration kLimitRetention = 600_s;

/// A limit in force and the share of this router.
struct limited_upstream
{
  instance_id upstream;
  request_rate limit;
  rate_limit_share share;
};

/// How long an upstream is cold, and how many calls it takes meanwhile from all routers together.
struct upstream_warmup
{
  /// 0 when the upstream is warm.
  duration remaining;
  request_rate rate;
};

/// Rate limits that upstreams state for all routers together, and the permits of this router. Which
/// routers have a share follows from the statements and the live routers, by rendezvous hashing, so
/// that routers need to exchange nothing else. Does no I/O and reads no clock; not thread-safe.
class upstream_rate_limits
{
public:
  explicit upstream_rate_limits(router_id aSelf);

  /// Returns the routers among which the limits are divided; call OnRoutersChanged() after a
  /// change.
  live_routers& Routers() { return mRouters; }
  [[nodiscard]] const live_routers& Routers() const { return mRouters; }
  /// Divides the limits anew.
  void OnRoutersChanged(time_point aNow);
  /// Updates the shares and forgets old limits; call about once a second.
  void Update(time_point aNow);

  /// Records how long an upstream is cold, as its latest statement tells. A statement that has been
  /// recorded before is ignored: it tells nothing of the time since.
  void RecordWarmup(const instance_id& aUpstream,
                    incarnation aIncarnation,
                    const upstream_warmup& aWarmup,
                    time_point aNow);
  /// Returns whether an upstream is cold.
  [[nodiscard]] bool IsCold(const instance_id& aUpstream,
                            incarnation aIncarnation,
                            time_point aNow) const;
  /// Number of upstreams that are cold.
  [[nodiscard]] std::size_t ColdCount(time_point aNow) const;
  /// Records what a response tells. Returns the message that the other routers need, if any.
  std::optional<peers::rate_limit_message> RecordResponse(const limit_observation& aObservation,
                                                          time_point aNow);
  /// Applies a message of another router. Returns whether it changed a limit.
  bool Apply(const peers::rate_limit_message& aMessage, time_point aNow);
  /// Takes a permit for a call that is sent; does nothing for an upstream without a limit.
  void RecordCall(const instance_id& aUpstream, incarnation aIncarnation, time_point aNow);

  /// Returns whether this router may send a call to an upstream now.
  [[nodiscard]] bool MaySend(const instance_id& aUpstream,
                             incarnation aIncarnation,
                             time_point aNow) const;
  /// Returns the time until this router may send a call to an upstream; empty when it has no share
  /// in the upstream's limit.
  [[nodiscard]] std::optional<duration> TimeToNextPermit(const instance_id& aUpstream,
                                                         incarnation aIncarnation,
                                                         time_point aNow) const;
  /// Returns the limit of an upstream; empty when there is none.
  [[nodiscard]] std::optional<limited_upstream> Find(const instance_id& aUpstream) const;
  /// Returns all limits in force.
  [[nodiscard]] std::vector<limited_upstream> All() const;
  /// Returns whether no upstream states a limit or has stated one lately.
  [[nodiscard]] bool Empty() const { return mEntries.empty(); }

private:
  struct entry
  {
    incarnation incarnationId;
    /// Sequence number of the latest statement that was told.
    std::uint64_t sequence = 0;
    /// Empty once the upstream no longer states a limit.
    std::optional<request_rate> limit;
    /// Time at which the upstream last stated this limit or a lower one.
    time_point limitStatedAt;
    /// Time at which it last stated any limit, or that there is none.
    time_point lastStatedAt;
    /// Time at which a router last told the others.
    time_point publishedAt;
    /// Position of this router for the upstream, from 0, in the order of rendezvous hashing.
    std::size_t rank = 0;
    permit_bucket permits;
    /// Latest statement of a warm-up; empty when there was none.
    std::optional<duration> statedWarmup;
    /// Until when the upstream is cold.
    time_point coldUntil{ INT64_MIN / 2 };
    /// Calls that it takes while it is cold.
    request_rate coldRate;
    permit_bucket coldPermits;
  };

  /// Returns the entry of an upstream, created if missing and reset for a later incarnation;
  /// nullptr when a later incarnation than aIncarnation is known.
  entry* EntryOf(const instance_id& aUpstream, incarnation aIncarnation);
  /// Returns the entry of an incarnation, or of a later one; nullptr when there is none.
  [[nodiscard]] const entry* FindKnown(const instance_id& aUpstream,
                                       incarnation aIncarnation) const;
  /// Returns the entry when it limits this incarnation; nullptr otherwise.
  [[nodiscard]] const entry* FindLimited(const instance_id& aUpstream,
                                         incarnation aIncarnation) const;
  /// Merges a stated limit. Returns whether the limit changed.
  static bool MergeLimit(entry& aEntry, const limit_observation& aObservation, time_point aNow);
  /// Returns whether a response without a limit ends the limit in force.
  [[nodiscard]] static bool EndsLimit(const entry& aEntry, const limit_observation& aObservation);
  void UpdateShare(entry& aEntry, time_point aNow) const;

  live_routers mRouters;
  std::unordered_map<instance_id, entry> mEntries;
};

} // namespace persimmon::dispatch
