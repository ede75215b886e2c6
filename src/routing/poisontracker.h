#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "peers/messages.h"
#include "routing/upstream.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmon::routing {

/// Time for which a request remains a suspect after an upstream died with it in flight.
constexpr duration kSuspectLifetime = 300_s;
/// Time for which a quarantined request is refused.
constexpr duration kQuarantineLifetime = 600_s;
/// Maximum number of tracked fingerprints; above it, the oldest suspects are evicted first.
constexpr std::size_t kMaxSuspects = 4096;

/// Deaths of upstreams within this time may have a common cause other than a request.
constexpr duration kCommonCauseWindow = 5_s;
/// Number of deaths in that window, without a given request in flight, from which on the request is
/// neither suspected nor quarantined: something else kills upstreams, such as the failure of a
/// fabric domain.
constexpr std::size_t kCommonCauseDeaths = 2;

/// Returns the fingerprint of a request, which is the same for its retries through any router.
std::uint64_t
RequestFingerprint(const service_name& aService,
                   const customer_name& aCustomer,
                   std::string_view aBody);

/// How a request may be dispatched.
enum class poison_verdict
{
  /// Not a suspect; no restriction.
  clear,
  /// Was in flight when an upstream died: run it on an upstream without another suspect.
  isolate,
  /// Refuse the request.
  quarantined
};

/// Result of poison_tracker::Check().
struct poison_check
{
  poison_verdict verdict = poison_verdict::clear;
  /// For `quarantined`: time until the quarantine ends.
  duration remaining{};
};

/// Detects poison requests, which crash the upstreams that run them. Every request in flight on an
/// upstream that dies becomes a suspect. An upstream runs at most one suspect at a time. A suspect
/// that completes is cleared; a suspect whose upstream dies again is quarantined for a time. When
/// several upstreams die at about the same time without a request in common, no request becomes a
/// suspect. Does no I/O; the caller serialises calls.
class poison_tracker
{
public:
  /// Returns how a request may be dispatched.
  [[nodiscard]] poison_check Check(std::uint64_t aFingerprint, time_point aNow) const;
  /// Returns the upstreams that run a suspect from this router; other suspects must not be sent to
  /// them.
  [[nodiscard]] std::vector<upstream_id> UpstreamsWithSuspects() const;
  /// Returns the upstreams of aAll to which a suspect must not be sent. Rendezvous hashing assigns
  /// each upstream to one router, so that two routers do not send suspects to the same upstream.
  /// When no upstream assigned to this router is free, only those that run a suspect are returned.
  [[nodiscard]] std::vector<upstream_id> UpstreamsClosedToSuspects(
    const std::vector<upstream_id>& aAll,
    const router_id& aSelf,
    const std::vector<router_id>& aRouters) const;

  /// Records the dispatch of an attempt.
  void RecordDispatch(const attempt_id& aAttempt,
                      std::uint64_t aFingerprint,
                      const upstream_id& aUpstream,
                      time_point aNow);
  /// Records that an attempt was answered completely. Returns the changes for other routers.
  std::vector<peers::suspect_request_message> RecordCompletion(const attempt_id& aAttempt,
                                                               time_point aNow);
  /// Records that an attempt ended without a complete answer while its upstream stayed alive.
  void RecordEnd(const attempt_id& aAttempt);
  /// Records that an upstream's process died. Returns the changes for other routers.
  std::vector<peers::suspect_request_message> RecordDeath(const upstream_id& aUpstream,
                                                          time_point aNow);
  /// Applies a change from another router. Returns whether this tracker changed.
  bool Apply(const peers::suspect_request_message& aMessage, time_point aNow);

  /// Returns the suspects, the quarantined and the recently cleared requests, for the mesh and the
  /// status page.
  [[nodiscard]] std::vector<peers::suspect_request_message> Entries(time_point aNow) const;
  /// Drops expired entries; call about once a second.
  void Prune(time_point aNow);

private:
  struct entry
  {
    /// Upstreams that died with the request in flight; 0 when it was cleared.
    std::uint32_t deaths = 0;
    bool quarantined = false;
    /// Time of the last death or, for a cleared request, of its completion.
    time_point at;
    /// Position in mByAge.
    std::list<std::uint64_t>::iterator agePosition;
  };
  struct running_attempt
  {
    std::uint64_t fingerprint = 0;
    upstream_id upstream;
    /// The request was a suspect when it was dispatched.
    bool suspect = false;
  };

  struct recent_death
  {
    upstream_id upstream;
    time_point at;
    /// Fingerprints of the requests that were in flight, sorted and without duplicates.
    std::vector<std::uint64_t> inFlight;
  };

  /// Removes the attempts in flight on an upstream and returns their fingerprints, sorted and
  /// without duplicates.
  std::vector<std::uint64_t> TakeInFlight(const upstream_id& aUpstream);
  void RecordRecentDeath(recent_death aDeath);
  /// Returns true when at least kCommonCauseDeaths recent deaths occurred without the request.
  [[nodiscard]] bool HasOtherCause(std::uint64_t aFingerprint, time_point aNow) const;
  /// Returns the entry of a fingerprint, created or reset when missing or expired, as the newest.
  entry& RefreshEntry(std::uint64_t aFingerprint, time_point aNow);
  /// Drops the oldest entry, preferably one that is not quarantined.
  void Evict();
  void Remove(std::uint64_t aFingerprint);
  [[nodiscard]] static bool Expired(const entry& aEntry, time_point aNow);
  /// Quarantines a suspect after another death and returns the change for other routers.
  peers::suspect_request_message Quarantine(std::uint64_t aFingerprint, time_point aNow);

  std::unordered_map<std::uint64_t, entry> mEntries;
  /// Fingerprints by the time of their last change, oldest first.
  std::list<std::uint64_t> mByAge;
  std::unordered_map<attempt_id, running_attempt> mRunning;
  std::deque<recent_death> mRecentDeaths;
};

} // namespace persimmon::routing
