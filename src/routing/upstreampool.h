#pragma once

#include "base/clock.h"
#include "routing/attemptresult.h"
#include "routing/candidate.h"
#include "routing/choicerequest.h"
#include "routing/upstreamchoice.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace persimmon::routing {

/// Identifies a dispatched attempt in an upstream_pool.
struct dispatch_ticket
{
  std::size_t slot = 0;
  /// Unique within the pool.
  std::uint64_t serial = 0;
  time_point startedAt;
};

/// Health of an upstream, by the outcomes and latencies seen at this router.
enum class pool_health : std::uint8_t
{
  good,
  /// Much slower than the service's median, or stalled: only gets occasional tests.
  probation,
  /// Failed or refused a short time ago: gets no requests until its backoff ends.
  ejected
};

/// A change of an upstream's health, to be logged.
struct health_change
{
  upstream_id id;
  pool_health before = pool_health::good;
  pool_health after = pool_health::good;
};

/// The part of an upstream's state that every choice reads.
struct pool_slot
{
  /// Hash of the upstream's id.
  std::uint64_t hash = 0;
  time_point evidenceExpiresAt;
  time_point ejectedUntil;
  /// Estimated current load, in requests: the aged report and the dispatches since, weighted for
  /// those of other routers.
  std::uint32_t load = 0;
  /// Reported load plus this router's dispatches less its ends since the report.
  std::uint32_t knownLoad = 0;
  /// Load of the newest report, running and queued.
  std::uint32_t reportedLoad = 0;
  /// The service view has the upstream without a reason for ineligibility.
  bool listed = false;
  bool ownZone = false;
  bool onProbation = false;
  /// So many upstreams are ejected that ejection would overload the rest.
  bool ignoreEjection = false;

  /// Returns true when the upstream is eligible for requests.
  [[nodiscard]] bool Eligible(time_point aNow) const { return listed && aNow < evidenceExpiresAt; }
  /// Returns true when the upstream is eligible, not on probation and not ejected.
  [[nodiscard]] bool Healthy(time_point aNow) const
  {
    return Eligible(aNow) && !onProbation && (ignoreEjection || aNow >= ejectedUntil);
  }
};

/// Load and health of one service's upstreams at one router. Loads are corrected for the age of
/// load reports. Does no I/O; the caller serialises calls.
class upstream_pool
{
public:
  explicit upstream_pool(zone_name aOwnZone);

  /// Applies the upstreams and load reports of a service view. Upstreams that stay keep their
  /// statistics; a new generation, incarnation or address starts without any.
  void Update(const std::vector<candidate>& aCandidates, time_point aNow);
  /// Sets the number of requests that an upstream may run at once.
  void SetLimit(std::uint32_t aRequestsPerUpstream) { mLimit = aRequestsPerUpstream; }
  /// Sets the number of routers that send requests to these upstreams, this one included.
  void SetRouterCount(std::size_t aCount) { mRouterCount = aCount; }
  /// Applies a load report, for example of a response; ignored unless newer than the last.
  void ApplyLoadReport(std::size_t aSlot, const load_report& aReport);

  /// Records a dispatch.
  dispatch_ticket Start(std::size_t aSlot, time_point aNow);
  /// Records progress of a dispatch; aTokens is the number generated so far, 0 when unknown. Call
  /// it at the first byte and, for streams, about twice a second, so that a slow upstream is
  /// detected before its streams end.
  void RecordProgress(const dispatch_ticket& aTicket, std::uint32_t aTokens, time_point aNow);
  /// Records the end of a dispatch.
  void Finish(const dispatch_ticket& aTicket, const attempt_result& aResult, time_point aNow);
  /// Ages the load reports, updates probation by comparison with the service's median latency, and
  /// decides whether ejection is ignored; call about ten times a second. Returns the changes of
  /// health since the last call.
  std::vector<health_change> UpdateHealth(time_point aNow);

  [[nodiscard]] const std::vector<pool_slot>& Slots() const { return mSlots; }
  [[nodiscard]] const std::shared_ptr<const upstream>& Target(std::size_t aSlot) const;
  [[nodiscard]] std::uint32_t Limit() const { return mLimit; }
  /// Returns the sum of the estimated loads of all listed upstreams.
  [[nodiscard]] std::uint64_t TotalLoad() const { return mTotalLoad; }
  [[nodiscard]] std::size_t ListedCount() const { return mListedCount; }
  /// Return the listed slots in the router's own zone and in all zones.
  [[nodiscard]] const std::vector<std::uint32_t>& OwnZoneSlots() const { return mOwnZoneSlots; }
  [[nodiscard]] const std::vector<std::uint32_t>& ListedSlots() const { return mListedSlots; }
  /// Returns the hashes of the listed upstreams' ids, in the order of ListedSlots().
  [[nodiscard]] const std::vector<std::uint64_t>& ListedHashes() const { return mListedHashes; }
  [[nodiscard]] bool IsExcluded(std::size_t aSlot, const choice_request& aRequest) const;
  /// Returns the upstream on probation whose last test is the oldest, if any is due for a test.
  [[nodiscard]] std::optional<std::size_t> DueForTest(time_point aNow) const;
  [[nodiscard]] pool_health Health(std::size_t aSlot, time_point aNow) const;

private:
  struct running_dispatch
  {
    dispatch_ticket ticket;
    /// The first progress of the dispatch was recorded, at firstProgressAt.
    bool progressed = false;
    time_point firstProgressAt;
  };
  struct ended_dispatch
  {
    time_point startedAt;
    time_point endedAt;
  };
  struct record
  {
    std::shared_ptr<const upstream> target;
    time_point reportedAt{ INT64_MIN };
    /// Reported load, which converges to the mean of all upstreams as the report ages.
    double agedLoad = 0;
    /// Dispatches in flight, oldest first.
    std::vector<running_dispatch> running;
    /// Dispatches that started before the newest report and ended after it.
    std::vector<ended_dispatch> ended;
    /// Smoothed latency in milliseconds per token, or per request for plain services.
    double msPerToken = 0;
    std::uint32_t samples = 0;
    /// Consecutive failures.
    std::uint32_t failures = 0;
    time_point lastTest{ INT64_MIN };
    /// A dispatch has been without progress for too long.
    bool stalled = false;
    /// Health that the last health_change returned.
    pool_health lastReturnedHealth = pool_health::good;
  };

  /// Returns the slot of an upstream; takes a free one, or resets the slot when the upstream
  /// changed.
  std::size_t SlotFor(const candidate& aCandidate);
  void Reset(std::size_t aSlot, const candidate& aCandidate);
  void ReleaseUnused(const std::vector<bool>& aSeen);
  /// Rebuilds the lists of slots and the total load.
  void RebuildLists();
  /// Moves the loads of old reports towards the mean.
  void AgeReports(time_point aNow);
  void RefreshLoad(std::size_t aSlot);
  running_dispatch* Find(const dispatch_ticket& aTicket);
  void RecordFirstProgress(running_dispatch& aRunning, time_point aNow);
  /// Adds a latency sample of a dispatch.
  void AddLatencySample(const running_dispatch& aRunning, std::uint32_t aTokens, time_point aNow);
  /// Updates failures and backoff after a dispatch ended.
  void RecordOutcome(std::size_t aSlot, attempt_outcome aOutcome, time_point aNow);
  void FindStalled(time_point aNow);
  /// Ignores ejection when too many upstreams are ejected.
  void UpdateIgnoreEjection(time_point aNow);
  /// Returns the lower median of the upstreams' latencies; 0 with fewer than two to compare.
  [[nodiscard]] double MedianMsPerToken() const;
  /// Puts the slowest and the stalled upstreams on probation, up to the limit.
  void UpdateProbation();
  std::vector<health_change> TakeHealthChanges(time_point aNow);

  zone_name mOwnZone;
  std::uint32_t mLimit = UINT32_MAX;
  std::size_t mRouterCount = 1;
  std::vector<pool_slot> mSlots;
  std::vector<record> mRecords;
  std::unordered_map<upstream_id, std::size_t> mSlotOf;
  std::vector<std::uint32_t> mOwnZoneSlots;
  std::vector<std::uint32_t> mListedSlots;
  std::vector<std::uint64_t> mListedHashes;
  std::vector<std::uint32_t> mProbationSlots;
  std::uint64_t mTotalLoad = 0;
  std::size_t mListedCount = 0;
  std::vector<std::size_t> mFreeSlots;
  std::uint64_t mNextSerial = 1;
  /// Smoothed time from dispatch to the first progress and its mean deviation, in milliseconds.
  double mFirstProgressMs = 0;
  double mFirstProgressDeviationMs = 0;
};

} // namespace persimmon::routing
