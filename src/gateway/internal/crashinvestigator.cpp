#include "gateway/crashinvestigator.h"

#include <algorithm>
#include <iterator>

namespace persimmon::gateway {

std::vector<crash_candidate>
crash_investigator::AddLostAttempt(const upstream_id& aUpstream,
                                   const attempt_id& aAttempt,
                                   const std::vector<crash_candidate>& aCandidates,
                                   time_point aNow)
{
  const auto [position, inserted] = mInvestigations.try_emplace(aUpstream);
  investigation& current = position->second;
  if (inserted) {
    current.startedAt = aNow;
  }
  current.attempts.push_back(aAttempt);
  ++mAttemptCount;
  std::vector<crash_candidate> unchecked;
  for (const crash_candidate& candidate : aCandidates) {
    if (current.candidates.emplace(candidate.instance, candidate).second) {
      unchecked.push_back(candidate);
    }
  }
  return unchecked;
}

crash_finding
crash_investigator::Close(investigation_map::iterator aPosition,
                          bool aCrashed,
                          const char* aEvidence)
{
  crash_finding finding{
    aPosition->first, aCrashed, aEvidence, std::move(aPosition->second.attempts)
  };
  mAttemptCount -= finding.attempts.size();
  mInvestigations.erase(aPosition);
  return finding;
}

std::optional<crash_finding>
crash_investigator::OnConnectResult(const upstream_id& aUpstream, connect_result aResult)
{
  const auto found = mInvestigations.find(aUpstream);
  if (found == mInvestigations.end() || aResult != connect_result::refused) {
    return std::nullopt;
  }
  return Close(found, true, "connection refused");
}

bool
crash_investigator::HasLaterLife(const investigation& aInvestigation,
                                 const fleet::fleet_view& aFleet,
                                 const latest_lives& aLatestLives)
{
  const auto& candidates = aInvestigation.candidates;
  return std::any_of(candidates.begin(), candidates.end(), [&](const auto& aPair) {
    const crash_candidate& candidate = aPair.second;
    const fleet::instance* sameId = aFleet.Find(candidate.instance);
    const auto sameAddress = aLatestLives.find({ candidate.service, candidate.address });
    return (sameId != nullptr && sameId->incarnationId > candidate.incarnationId) ||
           (sameAddress != aLatestLives.end() && sameAddress->second > candidate.incarnationId);
  });
}

crash_investigator::latest_lives
crash_investigator::FindLatestLives(const fleet::fleet_view& aFleet)
{
  latest_lives latest;
  for (const auto& [id, instance] : aFleet.Instances()) {
    incarnation& known = latest[{ instance.service, instance.address }];
    known = std::max(known, instance.incarnationId);
  }
  return latest;
}

void
crash_investigator::DropLeaving(investigation& aInvestigation, const fleet::fleet_view& aFleet)
{
  std::erase_if(aInvestigation.candidates, [&aFleet](const auto& aPair) {
    const crash_candidate& candidate = aPair.second;
    const fleet::instance* instance = aFleet.Find(candidate.instance);
    return instance != nullptr && instance->draining &&
           instance->incarnationId == candidate.incarnationId;
  });
}

std::vector<crash_finding>
crash_investigator::OnFleetChanged(const fleet::fleet_view& aFleet)
{
  std::vector<crash_finding> findings;
  if (mInvestigations.empty()) {
    return findings;
  }
  const latest_lives latestLives = FindLatestLives(aFleet);
  for (auto current = mInvestigations.begin(); current != mInvestigations.end();) {
    const auto next = std::next(current);
    DropLeaving(current->second, aFleet);
    if (current->second.candidates.empty()) {
      findings.push_back(Close(current, false, "leaves as planned"));
    } else if (HasLaterLife(current->second, aFleet, latestLives)) {
      findings.push_back(Close(current, true, "later incarnation registered"));
    }
    current = next;
  }
  return findings;
}

std::vector<attempt_id>
crash_investigator::TakeLapsed(const fleet::fleet_view& aFleet)
{
  std::vector<attempt_id> lapsed;
  for (auto& [upstream, current] : mInvestigations) {
    const bool isRegistered =
      std::any_of(current.candidates.begin(),
                  current.candidates.end(),
                  [&aFleet](const auto& aPair) { return aFleet.Find(aPair.first) != nullptr; });
    if (!isRegistered) {
      lapsed.insert(lapsed.end(),
                    current.attempts.begin() + static_cast<std::ptrdiff_t>(current.lapsedCount),
                    current.attempts.end());
      current.lapsedCount = current.attempts.size();
    }
  }
  return lapsed;
}

std::vector<crash_finding>
crash_investigator::TakeExpired(time_point aNow)
{
  std::vector<crash_finding> findings;
  for (auto current = mInvestigations.begin(); current != mInvestigations.end();) {
    const auto next = std::next(current);
    if (current->second.startedAt + kCrashProofTime <= aNow) {
      findings.push_back(Close(current, false, "no proof in time"));
    }
    current = next;
  }
  return findings;
}

} // namespace persimmon::gateway
