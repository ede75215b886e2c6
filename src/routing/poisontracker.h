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

/// How long a request stays suspected after a death.
constexpr duration kSuspectLifetime = 300_s;
/// How long a quarantined request is refused.
constexpr duration kQuarantineLifetime = 600_s;
/// Fingerprints remembered; beyond it, the oldest suspects are forgotten first.
constexpr std::size_t kMaxSuspects = 4096;

/// Deaths of upstreams within this time may have a common cause.
constexpr duration kCommonCauseWindow = 5_s;
/// So many other deaths in that window, all without a request, clear the request: something else
/// kills upstreams, such as a fabric domain that goes dark.
constexpr std::size_t kCommonCauseDeaths = 2;

/// Returns a request's fingerprint: the same for a repeat through any router.
std::uint64_t
RequestFingerprint(const service_name& aService,
                   const customer_name& aCustomer,
                   std::string_view aBody);

enum class poison_verdict
{
  /// Not suspected.
  clear,
  /// Was in flight when an upstream died: run it where no other suspect runs.
  isolate,
  /// Refuse it.
  quarantined
};

struct poison_check
{
  poison_verdict verdict = poison_verdict::clear;
  /// For `quarantined`: how long it stays so.
  duration remaining{};
};

/// Finds requests that kill the upstreams that run them. Every request in flight on an upstream
/// that dies becomes a suspect. Suspects run one to an upstream; one that completes is cleared,
/// one whose upstream dies again is quarantined for a time. Upstreams that die together without a
/// request in common accuse none of their requests. Pure; the caller serialises calls.
class poison_tracker
{
public:
  /// Tells how a request may be dispatched.
  [[nodiscard]] poison_check Check(std::uint64_t aFingerprint, time_point aNow) const;
  /// Upstreams that run a suspect; a request to isolate must not go there.
  [[nodiscard]] std::vector<upstream_id> UpstreamsWithSuspects() const;
  /// Returns the upstreams of aAll that a request to isolate must not go to. Each upstream falls to
  /// one router, so that two routers do not put suspects on the same one; when this router has no
  /// free upstream of its own, any that it does not use for a suspect will do.
  [[nodiscard]] std::vector<upstream_id> ClosedToSuspects(
    const std::vector<upstream_id>& aAll,
    const router_id& aSelf,
    const std::vector<router_id>& aRouters) const;

  /// Records a dispatch.
  void Started(const attempt_id& aAttempt,
               std::uint64_t aFingerprint,
               const upstream_id& aUpstream,
               time_point aNow);
  /// Records an attempt that ended with a whole answer. Returns the news for other routers.
  std::vector<peers::suspect_message> Completed(const attempt_id& aAttempt, time_point aNow);
  /// Records an attempt that ended in another way while its upstream lived on.
  void Ended(const attempt_id& aAttempt);
  /// Records that an upstream's process died. Returns the news for other routers.
  std::vector<peers::suspect_message> Died(const upstream_id& aUpstream, time_point aNow);
  /// Takes in news of another router; true when they changed something.
  bool Apply(const peers::suspect_message& aMessage, time_point aNow);

  /// Suspects and quarantined requests, for the mesh and the status page.
  [[nodiscard]] std::vector<peers::suspect_message> All(time_point aNow) const;
  /// Forgets what has expired; call about once a second.
  void Prune(time_point aNow);

private:
  struct entry
  {
    std::uint32_t deaths = 0;
    bool quarantined = false;
    /// The last death or, for an entry without deaths, the completion that cleared it.
    time_point at;
    std::list<std::uint64_t>::iterator age;
  };
  struct running_attempt
  {
    std::uint64_t fingerprint = 0;
    upstream_id upstream;
    /// It was a suspect when it was dispatched.
    bool isolated = false;
  };

  struct recent_death
  {
    upstream_id upstream;
    time_point at;
    /// Fingerprints that were in flight, sorted.
    std::vector<std::uint64_t> aboard;
  };

  std::vector<std::uint64_t> TakeAboard(const upstream_id& aUpstream);
  void RememberDeath(recent_death aDeath);
  [[nodiscard]] bool DiesWithoutIt(std::uint64_t aFingerprint, time_point aNow) const;
  entry& Touch(std::uint64_t aFingerprint, time_point aNow);
  void Evict();
  void Forget(std::uint64_t aFingerprint);
  [[nodiscard]] static bool Expired(const entry& aEntry, time_point aNow);
  peers::suspect_message Blame(std::uint64_t aFingerprint, time_point aNow);

  std::unordered_map<std::uint64_t, entry> mEntries;
  /// Fingerprints by the time of their last change, oldest first.
  std::list<std::uint64_t> mByAge;
  std::unordered_map<attempt_id, running_attempt> mRunning;
  std::deque<recent_death> mRecentDeaths;
};

} // namespace persimmon::routing
