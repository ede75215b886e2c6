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

/// An attempt that runs on an upstream of a pool.
struct dispatch_ticket
{
  std::size_t slot = 0;
  std::uint64_t serial = 0;
  time_point startedAt;
};

/// Health of an upstream as a pool sees it.
enum class pool_health : std::uint8_t
{
  good,
  /// Slower than the service's median, or stalled: gets a trickle of tests only.
  probation,
  /// Failed a moment ago: gets nothing until its back-off is over.
  ejected
};

/// A change of health, for the log.
struct health_change
{
  upstream_id id;
  pool_health before = pool_health::good;
  pool_health after = pool_health::good;
};

/// The part of an upstream's state that each choice reads.
struct pool_slot
{
  /// Hash of the upstream's id.
  std::uint64_t hash = 0;
  time_point freshUntil;
  time_point ejectedUntil;
  /// Estimate of the present load, from the report, its age and dispatches since.
  std::uint32_t load = 0;
  /// Reported load with own dispatches and ends since the report.
  std::uint32_t known = 0;
  std::uint32_t reported = 0;
  bool listed = false;
  bool ownZone = false;
  bool probation = false;
  /// So many upstreams failed that ejection would only crowd the rest.
  bool ignoreEjection = false;

  /// True when the upstream may get requests.
  [[nodiscard]] bool Eligible(time_point aNow) const { return listed && aNow < freshUntil; }
  /// True when it may get requests and is in good health.
  [[nodiscard]] bool Healthy(time_point aNow) const
  {
    return Eligible(aNow) && !probation && (ignoreEjection || aNow >= ejectedUntil);
  }
};

/// State of one service's upstreams at one router: load corrected for the lag of reports, and
/// health. Pure; the caller serialises calls.
class upstream_pool
{
public:
  explicit upstream_pool(zone_name aOwnZone);

  /// Takes over the upstreams and reports of a service view. Statistics of upstreams that stay
  /// are kept; those of a new generation start anew.
  void Update(const std::vector<candidate>& aCandidates, time_point aNow);
  /// Sets how many requests an upstream may run at once.
  void SetLimit(std::uint32_t aRequestsPerUpstream) { mLimit = aRequestsPerUpstream; }
  /// Sets how many routers send requests to these upstreams, this one included.
  void SetRouterCount(std::size_t aCount) { mRouterCount = aCount; }
  /// Takes a load that came with a response.
  void Report(std::size_t aSlot, const load_report& aReport);

  /// Records a dispatch.
  dispatch_ticket Start(std::size_t aSlot, time_point aNow);
  /// Records a sign of life; aTokens generated so far, 0 when unknown. Call it at the first byte
  /// and, for streams, about twice a second, so that a straggler shows before it has finished.
  void Progress(const dispatch_ticket& aTicket, std::uint32_t aTokens, time_point aNow);
  /// Records the end of a dispatch.
  void Finish(const dispatch_ticket& aTicket, const attempt_result& aResult, time_point aNow);
  /// Compares upstreams with the service's median and decides who is on probation; call about ten
  /// times a second. Returns the changes since the last call.
  std::vector<health_change> Maintain(time_point aNow);

  [[nodiscard]] const std::vector<pool_slot>& Slots() const { return mSlots; }
  [[nodiscard]] const std::shared_ptr<const upstream>& Target(std::size_t aSlot) const;
  [[nodiscard]] std::uint32_t Limit() const { return mLimit; }
  /// Sum of the loads of all listed upstreams.
  [[nodiscard]] std::uint64_t TotalLoad() const { return mTotalLoad; }
  [[nodiscard]] std::size_t ListedCount() const { return mListedCount; }
  /// Slots in the router's own zone and in all zones.
  [[nodiscard]] const std::vector<std::uint32_t>& OwnZoneSlots() const { return mOwnZoneSlots; }
  [[nodiscard]] const std::vector<std::uint32_t>& ListedSlots() const { return mListedSlots; }
  /// Hashes of the listed upstreams' ids, in the order of ListedSlots().
  [[nodiscard]] const std::vector<std::uint64_t>& ListedHashes() const { return mListedHashes; }
  [[nodiscard]] bool IsExcluded(std::size_t aSlot, const choice_request& aRequest) const;
  /// Returns an upstream on probation that is due for a test, if any.
  [[nodiscard]] std::optional<std::size_t> DueForTest(time_point aNow) const;
  [[nodiscard]] pool_health Health(std::size_t aSlot, time_point aNow) const;

private:
  struct running_dispatch
  {
    dispatch_ticket ticket;
    /// The upstream has shown a sign of life for it.
    bool heard = false;
    time_point heardAt;
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
    /// Reported load, drawn towards the mean as the report ages.
    double aged = 0;
    /// By start, oldest first.
    std::vector<running_dispatch> running;
    /// Ended since the report although they had started before it.
    std::vector<ended_dispatch> ended;
    double msPerToken = 0;
    std::uint32_t samples = 0;
    std::uint32_t failures = 0;
    time_point lastTest{ INT64_MIN };
    bool stalled = false;
    pool_health announced = pool_health::good;
  };

  std::size_t SlotFor(const candidate& aCandidate);
  void Reset(std::size_t aSlot, const candidate& aCandidate);
  void ReleaseUnused(const std::vector<bool>& aSeen);
  void Relist();
  void AgeReports(time_point aNow);
  void RefreshLoad(std::size_t aSlot);
  running_dispatch* Find(const dispatch_ticket& aTicket);
  void NoteSign(running_dispatch& aRunning, time_point aNow);
  void Sample(const running_dispatch& aRunning, std::uint32_t aTokens, time_point aNow);
  void NoteOutcome(std::size_t aSlot, attempt_outcome aOutcome, time_point aNow);
  void FindStalled(time_point aNow);
  void ReviewEjections(time_point aNow);
  [[nodiscard]] double MedianMsPerToken() const;
  void DecideProbation();
  std::vector<health_change> Announce(time_point aNow);

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
  /// Smoothed time to the first sign of life, and its mean deviation.
  double mSignMs = 0;
  double mSignDeviationMs = 0;
};

} // namespace persimmon::routing
