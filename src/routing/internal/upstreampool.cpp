#include "routing/upstreampool.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace persimmon::routing {
namespace {

/// Time constant, in milliseconds, with which a reported load converges to the mean of all
/// upstreams.
constexpr double kReportDecayMs = 4000;
/// Upper bound of the factor by which each own dispatch since the report is multiplied to account
/// for the other routers. They see the same reports and prefixes, so their dispatches are similar.
constexpr std::size_t kMaxDispatchWeight = 4;
/// Weight of a new sample in the smoothed latency.
constexpr double kLatencySampleWeight = 0.2;
/// Weight of a new sample for an upstream on probation, whose samples are rare.
constexpr double kTestLatencySampleWeight = 0.5;
/// Samples that an upstream needs before it is compared with the median.
constexpr std::uint32_t kMinSamples = 3;
/// An upstream is put on probation above this multiple of the service's median latency per token.
constexpr double kProbationRatio = 2.0;
/// An upstream on probation is released at or below this multiple.
constexpr double kReleaseRatio = 1.5;
/// At most one in this many listed upstreams is on probation, but one is always allowed when at
/// least two are listed.
constexpr std::size_t kUpstreamsPerProbation = 5;
/// Minimum time between two tests of the same upstream on probation.
constexpr duration kTestInterval = 1_s;
/// A dispatch without progress counts as stalled after the usual time to the first progress times
/// kStallRatio plus kStallDeviations mean deviations, but not before kStallFloor.
constexpr duration kStallFloor = 1_s;
constexpr double kStallRatio = 2.0;
constexpr double kStallDeviations = 4.0;
/// Weight of a new sample in the smoothed time to the first progress.
constexpr double kFirstProgressSampleWeight = 0.05;
/// Backoff after the first failure; doubles with each further failure.
constexpr duration kFirstBackoff = 500_ms;
constexpr duration kMaxBackoff = 8_s;
/// Ejection is ignored when more than one in this many listed upstreams is ejected.
constexpr std::size_t kUpstreamsPerEjection = 2;
/// Backoff after a refusal. Without it, an upstream that refuses at once would have the lowest load
/// and attract all requests.
constexpr duration kRefusalBackoff = 200_ms;

} // namespace

upstream_pool::upstream_pool(zone_name aOwnZone)
  : mOwnZone(std::move(aOwnZone))
{
}

void
upstream_pool::Update(const std::vector<candidate>& aCandidates, time_point aNow)
{
  std::vector<bool> seen(mSlots.size(), false);
  for (const candidate& current : aCandidates) {
    const std::size_t slot = SlotFor(current);
    seen.resize(mSlots.size(), false);
    seen[slot] = true;
    mSlots[slot].listed = current.why == ineligibility::none;
    mSlots[slot].evidenceExpiresAt = current.evidenceExpiresAt;
    ApplyLoadReport(slot, current.load);
  }
  ReleaseUnused(seen);
  RebuildLists();
  AgeReports(aNow);
}

std::size_t
upstream_pool::SlotFor(const candidate& aCandidate)
{
  const auto known = mSlotOf.find(aCandidate.target->id);
  if (known != mSlotOf.end()) {
    const upstream& present = *mRecords[known->second].target;
    const bool same = present.generation == aCandidate.target->generation &&
                      present.incarnationId == aCandidate.target->incarnationId &&
                      present.address == aCandidate.target->address;
    if (!same) {
      Reset(known->second, aCandidate);
    }
    return known->second;
  }
  std::size_t slot = mSlots.size();
  if (mFreeSlots.empty()) {
    mSlots.emplace_back();
    mRecords.emplace_back();
  } else {
    slot = mFreeSlots.back();
    mFreeSlots.pop_back();
  }
  Reset(slot, aCandidate);
  mSlotOf[aCandidate.target->id] = slot;
  return slot;
}

void
upstream_pool::Reset(std::size_t aSlot, const candidate& aCandidate)
{
  mSlots[aSlot] = pool_slot{};
  mSlots[aSlot].hash = HashText(aCandidate.target->id.value);
  mSlots[aSlot].ownZone = aCandidate.target->zone == mOwnZone;
  mRecords[aSlot] = record{};
  mRecords[aSlot].target = aCandidate.target;
}

void
upstream_pool::ReleaseUnused(const std::vector<bool>& aSeen)
{
  for (std::size_t slot = 0; slot < aSeen.size(); ++slot) {
    if (aSeen[slot] || !mRecords[slot].target) {
      continue;
    }
    mSlots[slot].listed = false;
    if (mRecords[slot].running.empty()) {
      mSlotOf.erase(mRecords[slot].target->id);
      mRecords[slot] = record{};
      mSlots[slot] = pool_slot{};
      mFreeSlots.push_back(slot);
    }
  }
}

void
upstream_pool::RebuildLists()
{
  mOwnZoneSlots.clear();
  mListedSlots.clear();
  mListedHashes.clear();
  mProbationSlots.clear();
  mTotalLoad = 0;
  for (std::size_t slot = 0; slot < mSlots.size(); ++slot) {
    const pool_slot& current = mSlots[slot];
    if (!current.listed) {
      continue;
    }
    const auto number = static_cast<std::uint32_t>(slot);
    mListedSlots.push_back(number);
    mListedHashes.push_back(current.hash);
    mTotalLoad += current.load;
    if (current.ownZone) {
      mOwnZoneSlots.push_back(number);
    }
    if (current.onProbation) {
      mProbationSlots.push_back(number);
    }
  }
  mListedCount = mListedSlots.size();
}

void
upstream_pool::ApplyLoadReport(std::size_t aSlot, const load_report& aReport)
{
  record& present = mRecords[aSlot];
  if (aReport.at <= present.reportedAt) {
    return;
  }
  present.reportedAt = aReport.at;
  mSlots[aSlot].reportedLoad = aReport.running + aReport.queued;
  present.agedLoad = mSlots[aSlot].reportedLoad;
  std::erase_if(present.ended,
                [&](const ended_dispatch& aEnded) { return aEnded.endedAt <= aReport.at; });
  RefreshLoad(aSlot);
}

void
upstream_pool::AgeReports(time_point aNow)
{
  double sum = 0;
  for (const std::uint32_t slot : mListedSlots) {
    sum += mSlots[slot].reportedLoad;
  }
  const double mean = sum / static_cast<double>(std::max<std::size_t>(1, mListedCount));
  for (const std::uint32_t slot : mListedSlots) {
    record& present = mRecords[slot];
    present.agedLoad = mSlots[slot].reportedLoad;
    if (present.reportedAt.ms != INT64_MIN) {
      const auto age = static_cast<double>((aNow - present.reportedAt).ms);
      present.agedLoad = mean + std::exp(-age / kReportDecayMs) * (present.agedLoad - mean);
    }
    RefreshLoad(slot);
  }
}

void
upstream_pool::RefreshLoad(std::size_t aSlot)
{
  const record& present = mRecords[aSlot];
  auto dispatchesSinceReport = -static_cast<std::int64_t>(present.ended.size());
  for (const running_dispatch& running : present.running) {
    dispatchesSinceReport += running.ticket.startedAt >= present.reportedAt ? 1 : 0;
  }
  const auto weight = static_cast<std::int64_t>(std::min(mRouterCount, kMaxDispatchWeight));
  const auto load =
    std::max<std::int64_t>(0, std::llround(present.agedLoad) + weight * dispatchesSinceReport);
  pool_slot& slot = mSlots[aSlot];
  slot.knownLoad = static_cast<std::uint32_t>(
    std::max<std::int64_t>(0, slot.reportedLoad + dispatchesSinceReport));
  if (slot.listed) {
    mTotalLoad += static_cast<std::uint64_t>(load) - slot.load;
  }
  slot.load = static_cast<std::uint32_t>(load);
}

dispatch_ticket
upstream_pool::Start(std::size_t aSlot, time_point aNow)
{
  const dispatch_ticket ticket{ aSlot, mNextSerial++, aNow };
  mRecords[aSlot].running.push_back({ ticket, false, {} });
  if (mSlots[aSlot].onProbation) {
    mRecords[aSlot].lastTest = aNow;
  }
  RefreshLoad(aSlot);
  return ticket;
}

upstream_pool::running_dispatch*
upstream_pool::Find(const dispatch_ticket& aTicket)
{
  if (aTicket.slot >= mRecords.size()) {
    return nullptr;
  }
  std::vector<running_dispatch>& running = mRecords[aTicket.slot].running;
  const auto found = std::find_if(running.begin(), running.end(), [&](const auto& aOther) {
    return aOther.ticket.serial == aTicket.serial;
  });
  return found == running.end() ? nullptr : &*found;
}

void
upstream_pool::RecordFirstProgress(running_dispatch& aRunning, time_point aNow)
{
  if (aRunning.progressed) {
    return;
  }
  aRunning.progressed = true;
  aRunning.firstProgressAt = aNow;
  const auto elapsedMs = static_cast<double>((aNow - aRunning.ticket.startedAt).ms);
  mFirstProgressDeviationMs += kFirstProgressSampleWeight *
                               (std::abs(elapsedMs - mFirstProgressMs) - mFirstProgressDeviationMs);
  mFirstProgressMs += kFirstProgressSampleWeight * (elapsedMs - mFirstProgressMs);
}

void
upstream_pool::AddLatencySample(const running_dispatch& aRunning,
                                std::uint32_t aTokens,
                                time_point aNow)
{
  // A stream is measured from its first progress, so that time in the upstream's queue does not
  // count.
  const time_point from = aTokens > 0 && aRunning.firstProgressAt < aNow
                            ? aRunning.firstProgressAt
                            : aRunning.ticket.startedAt;
  const double msPerToken =
    static_cast<double>((aNow - from).ms) / std::max<std::uint32_t>(1, aTokens);
  const std::size_t slot = aRunning.ticket.slot;
  record& present = mRecords[slot];
  const double weight = mSlots[slot].onProbation ? kTestLatencySampleWeight : kLatencySampleWeight;
  present.msPerToken = present.samples == 0
                         ? msPerToken
                         : present.msPerToken + weight * (msPerToken - present.msPerToken);
  ++present.samples;
}

void
upstream_pool::RecordProgress(const dispatch_ticket& aTicket,
                              std::uint32_t aTokens,
                              time_point aNow)
{
  running_dispatch* running = Find(aTicket);
  if (running == nullptr) {
    return;
  }
  RecordFirstProgress(*running, aNow);
  if (aTokens > 0) {
    AddLatencySample(*running, aTokens, aNow);
  }
}

void
upstream_pool::Finish(const dispatch_ticket& aTicket,
                      const attempt_result& aResult,
                      time_point aNow)
{
  running_dispatch* running = Find(aTicket);
  if (running == nullptr) {
    return;
  }
  record& present = mRecords[aTicket.slot];
  if (aResult.outcome == attempt_outcome::completed) {
    RecordFirstProgress(*running, aNow);
    AddLatencySample(*running, aResult.tokens, aNow);
  }
  if (aTicket.startedAt < present.reportedAt) {
    present.ended.push_back({ aTicket.startedAt, aNow });
  }
  present.running.erase(present.running.begin() + (running - present.running.data()));
  RecordOutcome(aTicket.slot, aResult.outcome, aNow);
  RefreshLoad(aTicket.slot);
}

void
upstream_pool::RecordOutcome(std::size_t aSlot, attempt_outcome aOutcome, time_point aNow)
{
  record& present = mRecords[aSlot];
  pool_slot& slot = mSlots[aSlot];
  switch (aOutcome) {
    case attempt_outcome::completed:
      present.failures = 0;
      slot.ejectedUntil = {};
      break;
    case attempt_outcome::refused:
      slot.ejectedUntil = std::max(slot.ejectedUntil, aNow + kRefusalBackoff);
      break;
    case attempt_outcome::failed: {
      // Failures during a backoff are of requests sent before it, and count as one failure.
      if (aNow >= slot.ejectedUntil) {
        ++present.failures;
      }
      const std::int64_t factor = std::int64_t{ 1 } << std::min<std::uint32_t>(present.failures, 5);
      const duration backoff = std::min(kMaxBackoff, kFirstBackoff * factor / 2);
      slot.ejectedUntil = std::max(slot.ejectedUntil, aNow + backoff);
      break;
    }
    case attempt_outcome::cancelled:
      break;
  }
}

void
upstream_pool::FindStalled(time_point aNow)
{
  const double bound =
    std::max(static_cast<double>(kStallFloor.ms),
             kStallRatio * mFirstProgressMs + kStallDeviations * mFirstProgressDeviationMs);
  for (const std::uint32_t slot : mListedSlots) {
    const std::vector<running_dispatch>& running = mRecords[slot].running;
    mRecords[slot].stalled = std::any_of(running.begin(), running.end(), [&](const auto& aOther) {
      return !aOther.progressed && static_cast<double>((aNow - aOther.ticket.startedAt).ms) > bound;
    });
  }
}

void
upstream_pool::UpdateIgnoreEjection(time_point aNow)
{
  const auto ejected = std::count_if(mListedSlots.begin(), mListedSlots.end(), [&](auto aSlot) {
    return aNow < mSlots[aSlot].ejectedUntil;
  });
  const bool ignore = static_cast<std::size_t>(ejected) * kUpstreamsPerEjection > mListedCount;
  for (const std::uint32_t slot : mListedSlots) {
    mSlots[slot].ignoreEjection = ignore;
  }
}

double
upstream_pool::MedianMsPerToken() const
{
  std::vector<double> values;
  for (const std::uint32_t slot : mListedSlots) {
    if (mRecords[slot].samples >= kMinSamples) {
      values.push_back(mRecords[slot].msPerToken);
    }
  }
  if (values.size() < 2) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void
upstream_pool::UpdateProbation()
{
  struct straggler
  {
    double severity = 0;
    std::uint32_t slot = 0;
  };
  const double median = MedianMsPerToken();
  std::vector<straggler> stragglers;
  for (const std::uint32_t slot : mListedSlots) {
    const record& present = mRecords[slot];
    const double ratio =
      median > 0 && present.samples >= kMinSamples ? present.msPerToken / median : 0;
    const bool slow = ratio > (mSlots[slot].onProbation ? kReleaseRatio : kProbationRatio);
    if (present.stalled || slow) {
      stragglers.push_back({ present.stalled ? HUGE_VAL : ratio, slot });
    }
    mSlots[slot].onProbation = false;
  }
  std::stable_sort(stragglers.begin(), stragglers.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.severity > aRight.severity;
  });
  const std::size_t cap =
    mListedCount < 2 ? 0 : std::max<std::size_t>(1, mListedCount / kUpstreamsPerProbation);
  stragglers.resize(std::min(stragglers.size(), cap));
  mProbationSlots.clear();
  for (const straggler& current : stragglers) {
    mSlots[current.slot].onProbation = true;
    mProbationSlots.push_back(current.slot);
  }
}

std::vector<health_change>
upstream_pool::TakeHealthChanges(time_point aNow)
{
  std::vector<health_change> changes;
  for (const std::uint32_t slot : mListedSlots) {
    const pool_health health = Health(slot, aNow);
    if (health != mRecords[slot].lastReturnedHealth) {
      changes.push_back({ mRecords[slot].target->id, mRecords[slot].lastReturnedHealth, health });
      mRecords[slot].lastReturnedHealth = health;
    }
  }
  return changes;
}

std::vector<health_change>
upstream_pool::UpdateHealth(time_point aNow)
{
  AgeReports(aNow);
  FindStalled(aNow);
  UpdateProbation();
  UpdateIgnoreEjection(aNow);
  return TakeHealthChanges(aNow);
}

const std::shared_ptr<const upstream>&
upstream_pool::Target(std::size_t aSlot) const
{
  return mRecords[aSlot].target;
}

bool
upstream_pool::IsExcluded(std::size_t aSlot, const choice_request& aRequest) const
{
  if (aRequest.excluded.empty()) {
    return false;
  }
  const upstream_id& id = mRecords[aSlot].target->id;
  return std::find(aRequest.excluded.begin(), aRequest.excluded.end(), id) !=
         aRequest.excluded.end();
}

std::optional<std::size_t>
upstream_pool::DueForTest(time_point aNow) const
{
  std::optional<std::size_t> due;
  for (const std::uint32_t slot : mProbationSlots) {
    const time_point last = mRecords[slot].lastTest;
    const bool intervalOver = last.ms == INT64_MIN || last + kTestInterval <= aNow;
    const bool usable = mSlots[slot].Eligible(aNow) && aNow >= mSlots[slot].ejectedUntil &&
                        mSlots[slot].knownLoad < mLimit;
    if (intervalOver && usable && (!due || last < mRecords[*due].lastTest)) {
      due = slot;
    }
  }
  return due;
}

pool_health
upstream_pool::Health(std::size_t aSlot, time_point aNow) const
{
  if (aNow < mSlots[aSlot].ejectedUntil) {
    return pool_health::ejected;
  }
  return mSlots[aSlot].onProbation ? pool_health::probation : pool_health::good;
}

} // namespace persimmon::routing
