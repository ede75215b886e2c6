#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleetview.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Time after a lost call in which a restart of its upstream is taken as the cause of the loss.
constexpr duration kCrashProofTime = 20_s;
/// Most lost attempts that are investigated at a time; further ones are not.
constexpr std::size_t kMaxInvestigatedAttempts = 4096;

/// Result of an attempt to connect to an instance.
enum class connect_result
{
  /// Nothing listens at the address: the process has ended.
  refused,
  /// Something listens: the instance, its next life, or another program at the address.
  connected,
  /// No answer in time: cut off, suspended or without power.
  no_answer
};

/// An instance that may have crashed, in the incarnation that was running the lost call.
struct crash_candidate
{
  instance_id instance;
  service_name service;
  endpoint address;
  incarnation incarnationId;
};

/// Result of an investigation.
struct crash_finding
{
  upstream_id upstream;
  /// False when no instance of the upstream has crashed, as far as can be known.
  bool crashed = false;
  /// What showed that an instance crashed, or ended the investigation without that.
  const char* evidence = "";
  /// The lost attempts.
  std::vector<attempt_id> attempts;
};

/// Looks for the proof that an instance of an upstream with lost attempts crashed: a refused
/// connection or a later incarnation. A crash without proof is possible: something else may listen
/// at the address, and the next life may have another id. Does no I/O and reads no clock.
class crash_investigator
{
public:
  /// Adds a lost attempt. Returns the instances that the caller should now connect to.
  std::vector<crash_candidate> AddLostAttempt(const upstream_id& aUpstream,
                                              const attempt_id& aAttempt,
                                              const std::vector<crash_candidate>& aCandidates,
                                              time_point aNow);
  /// Returns whether an attempt can still be added.
  [[nodiscard]] bool HasCapacity() const { return mAttemptCount < kMaxInvestigatedAttempts; }
  /// Handles the result of a connection attempt. Returns a finding if it proves a crash.
  std::optional<crash_finding> OnConnectResult(const upstream_id& aUpstream,
                                               connect_result aResult);
  /// Returns the upstreams of which an instance is registered in a later incarnation, under the
  /// same id or under another one at the same address, and those all of whose instances leave as
  /// planned, which have not crashed.
  std::vector<crash_finding> OnFleetChanged(const fleet::fleet_view& aFleet);
  /// Returns the lost attempts of upstreams none of whose instances is registered any more, each
  /// once. Their investigations go on: another life may still prove the crash.
  std::vector<attempt_id> TakeLapsed(const fleet::fleet_view& aFleet);
  /// Returns the investigations that have found nothing in time.
  std::vector<crash_finding> TakeExpired(time_point aNow);

private:
  struct investigation
  {
    time_point startedAt;
    std::vector<attempt_id> attempts;
    /// Instances of which one may have crashed.
    std::map<instance_id, crash_candidate> candidates;
    /// Number of the attempts, from the first, that TakeLapsed() has returned.
    std::size_t lapsedCount = 0;
  };
  using investigation_map = std::map<upstream_id, investigation>;

  /// The latest incarnation at each address of a service.
  using latest_lives = std::map<std::pair<service_name, endpoint>, incarnation>;

  [[nodiscard]] static latest_lives FindLatestLives(const fleet::fleet_view& aFleet);
  [[nodiscard]] static bool HasLaterLife(const investigation& aInvestigation,
                                         const fleet::fleet_view& aFleet,
                                         const latest_lives& aLatestLives);
  /// Drops the instances that leave as planned: what comes after them proves no crash.
  static void DropLeaving(investigation& aInvestigation, const fleet::fleet_view& aFleet);
  /// Removes an investigation and returns its finding.
  crash_finding Close(investigation_map::iterator aPosition, bool aCrashed, const char* aEvidence);

  investigation_map mInvestigations;
  std::size_t mAttemptCount = 0;
};

} // namespace persimmon::gateway
