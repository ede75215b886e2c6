#pragma once

#include "base/ids.h"
#include "poison/losskind.h"
#include "poison/suspiciontable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace persimmon::poison {

/// Time from the first part of a response within which a crash counts as early: a request that
/// crashes its upstream does so when the upstream begins to run it.
constexpr duration kEarlyCrashTime = 300_ms;
/// Crashes of upstreams within this time may have a common cause other than a request.
constexpr duration kCommonCauseWindow = 5_s;
/// Number of crashes in that window, without a given request in flight, from which on the crashes
/// have another explanation, such as the failure of a fabric domain. The request then is
/// quarantined only by its total weight.
constexpr std::size_t kCommonCauseCrashes = 2;

/// A request that is sent to an upstream.
struct dispatched_request
{
  attempt_id attempt;
  std::uint64_t fingerprint = 0;
  upstream_id upstream;
  /// Identifies this run of the upstream; differs after a restart.
  std::uint64_t upstreamRun = 0;
};

/// Detects poison requests, which crash the upstreams that run them. Each crash counts against all
/// requests that were in flight on the upstream, more if they had just begun to run. A response
/// that breaks off counts as a crash against its own request, whether or not a crash is proved. A
/// request is quarantined at its second proved crash if it alone explains that crash, and at the
/// third in any case. A request that runs to its end is cleared. Does no I/O; the caller serialises
/// calls.
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
  void RecordDispatch(const dispatched_request& aRequest, time_point aNow);
  /// Records the first part of an attempt's response: the upstream runs the request.
  void RecordFirstResponse(const attempt_id& aAttempt, time_point aNow);
  /// Records that an attempt's response broke off or did not come. The attempt stays in flight
  /// until it is known whether its upstream has crashed. Returns the changes for other routers.
  suspicion_changes RecordLoss(const attempt_id& aAttempt, loss_kind aKind, time_point aNow);
  /// Records that an attempt was answered completely. Returns the changes for other routers.
  suspicion_changes RecordCompletion(const attempt_id& aAttempt, time_point aNow);
  /// Records that an attempt ended without a complete answer while its upstream stayed alive.
  void RecordEnd(const attempt_id& aAttempt);
  /// Records the crash of an upstream's process. Returns the changes for other routers.
  suspicion_changes RecordCrash(const upstream_id& aUpstream, time_point aNow);
  /// Applies messages of another router or from the store. Returns the quarantines that follow.
  suspicion_changes Apply(const suspicion_changes& aMessages, time_point aNow);

  /// Returns all that is known of requests, for other processes and the status page.
  [[nodiscard]] suspicion_changes Entries(time_point aNow) const { return mTable.Entries(aNow); }
  /// Returns what must outlast all processes.
  [[nodiscard]] suspicion_changes LastingEntries(time_point aNow) const
  {
    return mTable.LastingEntries(aNow);
  }
  [[nodiscard]] suspicion_counts Count(time_point aNow) const { return mTable.Count(aNow); }
  /// Drops expired entries; call about once a second.
  void Prune(time_point aNow) { mTable.Prune(aNow); }

private:
  struct running_attempt
  {
    dispatched_request request;
    /// The request was a suspect when it was dispatched.
    bool suspect = false;
    bool hasResponse = false;
    /// Time of the first part of the response.
    time_point firstResponseAt;
    /// Time at which the response broke off.
    std::optional<time_point> lostAt;
    loss_kind lossKind = loss_kind::broken_off;
  };
  /// A request that was in flight on an upstream that crashed.
  struct crashed_request
  {
    std::uint64_t fingerprint = 0;
    std::uint64_t crash = 0;
    std::uint32_t weight = 0;
  };
  struct recent_crash
  {
    upstream_id upstream;
    time_point at;
    /// Fingerprints of the requests that were in flight, sorted and without duplicates.
    std::vector<std::uint64_t> inFlight;
  };

  /// Identifies the run of an upstream that a request was sent to, and with it the run's crash.
  [[nodiscard]] static std::uint64_t CrashOf(const dispatched_request& aRequest);
  [[nodiscard]] static std::uint32_t CrashWeight(const running_attempt& aAttempt, time_point aNow);
  /// Removes the attempts in flight on an upstream and returns their requests, sorted by
  /// fingerprint and without duplicates.
  std::vector<crashed_request> TakeInFlight(const upstream_id& aUpstream, time_point aNow);
  void RecordRecentCrash(const upstream_id& aUpstream,
                         const std::vector<crashed_request>& aInFlight,
                         time_point aNow);
  /// Returns true when at least kCommonCauseCrashes recent crashes occurred without the request.
  [[nodiscard]] bool HasOtherCause(std::uint64_t aFingerprint, time_point aNow) const;
  /// Returns the one request that explains a crash: the one with the most earlier crashes, unless
  /// several have as many or the crash has another explanation; nullptr when there is none. Only
  /// crashes count that are proved and have no other explanation.
  [[nodiscard]] const crashed_request* FindCulprit(const std::vector<crashed_request>& aInFlight,
                                                   time_point aNow) const;
  suspicion_changes AddCrash(const crashed_request& aRequest, bool aIsolates, time_point aNow);

  suspicion_table mTable;
  std::unordered_map<attempt_id, running_attempt> mRunning;
  std::deque<recent_crash> mRecentCrashes;
};

} // namespace persimmon::poison
