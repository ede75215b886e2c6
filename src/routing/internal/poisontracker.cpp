#include "routing/poisontracker.h"

#include "base/hash.h"

#include <algorithm>

namespace persimmon::routing {
namespace {

/// Number of oldest entries searched for one that is not quarantined when an entry is evicted.
constexpr std::size_t kEvictionScan = 64;
constexpr std::size_t kMaxRecentDeaths = 64;

duration
LifetimeOf(bool aQuarantined)
{
  return aQuarantined ? kQuarantineLifetime : kSuspectLifetime;
}

} // namespace

std::uint64_t
RequestFingerprint(const service_name& aService,
                   const customer_name& aCustomer,
                   std::string_view aBody)
{
  return HashText(aBody, HashText(aCustomer.value, HashText(aService.value)));
}

bool
poison_tracker::Expired(const entry& aEntry, time_point aNow)
{
  return aEntry.at + LifetimeOf(aEntry.quarantined) <= aNow;
}

poison_check
poison_tracker::Check(std::uint64_t aFingerprint, time_point aNow) const
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() || Expired(found->second, aNow) || found->second.deaths == 0) {
    return {};
  }
  if (found->second.quarantined) {
    return { poison_verdict::quarantined, found->second.at + kQuarantineLifetime - aNow };
  }
  return { poison_verdict::isolate, {} };
}

std::vector<upstream_id>
poison_tracker::UpstreamsWithSuspects() const
{
  std::vector<upstream_id> result;
  for (const auto& [attempt, running] : mRunning) {
    if (running.suspect) {
      result.push_back(running.upstream);
    }
  }
  return result;
}

std::vector<upstream_id>
poison_tracker::UpstreamsClosedToSuspects(const std::vector<upstream_id>& aAll,
                                          const router_id& aSelf,
                                          const std::vector<router_id>& aRouters) const
{
  std::vector<upstream_id> withSuspects = UpstreamsWithSuspects();
  std::vector<upstream_id> closed;
  for (const upstream_id& upstream : aAll) {
    const bool runsSuspect =
      std::find(withSuspects.begin(), withSuspects.end(), upstream) != withSuspects.end();
    const std::uint64_t ownWeight = RendezvousWeight(upstream.value, aSelf.value);
    const bool assignedElsewhere =
      std::any_of(aRouters.begin(), aRouters.end(), [&](const auto& aRouter) {
        return RendezvousWeight(upstream.value, aRouter.value) > ownWeight;
      });
    if (runsSuspect || assignedElsewhere) {
      closed.push_back(upstream);
    }
  }
  return closed.size() < aAll.size() ? closed : withSuspects;
}

void
poison_tracker::RecordDispatch(const attempt_id& aAttempt,
                               std::uint64_t aFingerprint,
                               const upstream_id& aUpstream,
                               time_point aNow)
{
  const bool suspect = Check(aFingerprint, aNow).verdict == poison_verdict::isolate;
  mRunning[aAttempt] = { aFingerprint, aUpstream, suspect };
}

void
poison_tracker::RecordEnd(const attempt_id& aAttempt)
{
  mRunning.erase(aAttempt);
}

std::vector<peers::suspect_request_message>
poison_tracker::RecordCompletion(const attempt_id& aAttempt, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found == mRunning.end()) {
    return {};
  }
  const std::uint64_t fingerprint = found->second.fingerprint;
  RecordEnd(aAttempt);
  if (Check(fingerprint, aNow).verdict != poison_verdict::isolate) {
    return {};
  }
  RefreshEntry(fingerprint, aNow).deaths = 0;
  return { { fingerprint, 0, false, {} } };
}

std::vector<std::uint64_t>
poison_tracker::TakeInFlight(const upstream_id& aUpstream)
{
  // Deaths are rare: a search of all attempts costs less than an index updated at each dispatch.
  std::vector<std::uint64_t> inFlight;
  for (auto current = mRunning.begin(); current != mRunning.end();) {
    const bool lost = current->second.upstream == aUpstream;
    if (lost) {
      inFlight.push_back(current->second.fingerprint);
    }
    current = lost ? mRunning.erase(current) : std::next(current);
  }
  std::sort(inFlight.begin(), inFlight.end());
  inFlight.erase(std::unique(inFlight.begin(), inFlight.end()), inFlight.end());
  return inFlight;
}

void
poison_tracker::RecordRecentDeath(recent_death aDeath)
{
  std::erase_if(mRecentDeaths, [&](const recent_death& aOther) {
    return aOther.upstream == aDeath.upstream || aOther.at + kCommonCauseWindow <= aDeath.at;
  });
  mRecentDeaths.push_back(std::move(aDeath));
  if (mRecentDeaths.size() > kMaxRecentDeaths) {
    mRecentDeaths.pop_front();
  }
}

bool
poison_tracker::HasOtherCause(std::uint64_t aFingerprint, time_point aNow) const
{
  const auto others =
    std::count_if(mRecentDeaths.begin(), mRecentDeaths.end(), [&](const recent_death& aOther) {
      const bool recent = aNow < aOther.at + kCommonCauseWindow;
      return recent &&
             !std::binary_search(aOther.inFlight.begin(), aOther.inFlight.end(), aFingerprint);
    });
  return static_cast<std::size_t>(others) >= kCommonCauseDeaths;
}

std::vector<peers::suspect_request_message>
poison_tracker::RecordDeath(const upstream_id& aUpstream, time_point aNow)
{
  const std::vector<std::uint64_t> inFlight = TakeInFlight(aUpstream);
  RecordRecentDeath({ aUpstream, aNow, inFlight });
  std::vector<std::uint64_t> newSuspects;
  std::vector<std::uint64_t> suspects;
  for (const std::uint64_t fingerprint : inFlight) {
    const poison_verdict verdict = Check(fingerprint, aNow).verdict;
    if (verdict == poison_verdict::isolate) {
      suspects.push_back(fingerprint);
    } else if (verdict == poison_verdict::clear) {
      newSuspects.push_back(fingerprint);
    }
  }
  // When exactly one of the requests in flight was a suspect before, the death is blamed on it
  // alone.
  if (suspects.size() == 1 && !HasOtherCause(suspects.front(), aNow)) {
    return { Quarantine(suspects.front(), aNow) };
  }
  std::vector<peers::suspect_request_message> changes;
  for (const std::uint64_t fingerprint : newSuspects) {
    if (!HasOtherCause(fingerprint, aNow)) {
      RefreshEntry(fingerprint, aNow).deaths = 1;
      changes.push_back({ fingerprint, 1, false, {} });
    }
  }
  return changes;
}

peers::suspect_request_message
poison_tracker::Quarantine(std::uint64_t aFingerprint, time_point aNow)
{
  entry& suspect = RefreshEntry(aFingerprint, aNow);
  ++suspect.deaths;
  suspect.quarantined = true;
  return { aFingerprint, suspect.deaths, true, {} };
}

bool
poison_tracker::Apply(const peers::suspect_request_message& aMessage, time_point aNow)
{
  const time_point at = aNow - aMessage.age;
  if (at + LifetimeOf(aMessage.quarantined) <= aNow) {
    return false;
  }
  const auto found = mEntries.find(aMessage.fingerprint);
  const bool known = found != mEntries.end() && !Expired(found->second, aNow);
  if (known) {
    const entry& present = found->second;
    const bool same =
      present.quarantined == aMessage.quarantined && present.deaths >= aMessage.deaths;
    const bool clears = aMessage.deaths == 0 && present.deaths > 0;
    if (present.quarantined || (same && !clears)) {
      return false;
    }
    if (!aMessage.quarantined && at <= present.at) {
      return false;
    }
  }
  entry& changed = RefreshEntry(aMessage.fingerprint, at);
  changed.deaths = aMessage.deaths;
  changed.quarantined = aMessage.quarantined;
  return true;
}

std::vector<peers::suspect_request_message>
poison_tracker::Entries(time_point aNow) const
{
  std::vector<peers::suspect_request_message> result;
  for (const std::uint64_t fingerprint : mByAge) {
    const entry& present = mEntries.at(fingerprint);
    if (!Expired(present, aNow)) {
      result.push_back({ fingerprint, present.deaths, present.quarantined, aNow - present.at });
    }
  }
  return result;
}

void
poison_tracker::Prune(time_point aNow)
{
  for (auto current = mByAge.begin(); current != mByAge.end();) {
    const std::uint64_t fingerprint = *current++;
    if (Expired(mEntries.at(fingerprint), aNow)) {
      Remove(fingerprint);
    }
  }
}

poison_tracker::entry&
poison_tracker::RefreshEntry(std::uint64_t aFingerprint, time_point aNow)
{
  const auto found = mEntries.find(aFingerprint);
  if (found != mEntries.end()) {
    if (Expired(found->second, aNow)) {
      found->second.deaths = 0;
      found->second.quarantined = false;
    }
    mByAge.splice(mByAge.end(), mByAge, found->second.agePosition);
    found->second.at = aNow;
    return found->second;
  }
  if (mEntries.size() >= kMaxSuspects) {
    Evict();
  }
  const auto position = mByAge.insert(mByAge.end(), aFingerprint);
  return mEntries.emplace(aFingerprint, entry{ 0, false, aNow, position }).first->second;
}

void
poison_tracker::Evict()
{
  std::size_t scanned = 0;
  for (const std::uint64_t fingerprint : mByAge) {
    if (!mEntries.at(fingerprint).quarantined) {
      Remove(fingerprint);
      return;
    }
    if (++scanned == kEvictionScan) {
      break;
    }
  }
  Remove(mByAge.front());
}

void
poison_tracker::Remove(std::uint64_t aFingerprint)
{
  const auto found = mEntries.find(aFingerprint);
  mByAge.erase(found->second.agePosition);
  mEntries.erase(found);
}

} // namespace persimmon::routing
