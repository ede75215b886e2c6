#include "poison/suspiciontable.h"

#include <algorithm>

namespace persimmon::poison {
namespace {

/// Number of oldest entries searched for one that never was in quarantine when one is evicted.
constexpr std::size_t kEvictionScan = 64;

} // namespace

duration
QuarantineLifetime(std::uint32_t aCount)
{
  duration lifetime = kQuarantineLifetime;
  for (std::uint32_t i = 1; i < aCount && lifetime < kMaxQuarantineLifetime; ++i) {
    lifetime = lifetime * kQuarantineGrowth;
  }
  return std::min(lifetime, kMaxQuarantineLifetime);
}

bool
suspicion_table::Counts(const crash& aCrash, time_point aNow)
{
  return !aCrash.withdrawn && aNow < aCrash.at + kSuspectLifetime;
}

bool
suspicion_table::IsQuarantined(const entry& aEntry, time_point aNow)
{
  return aEntry.quarantineCount > 0 && !aEntry.lifted &&
         aNow < aEntry.quarantinedAt + QuarantineLifetime(aEntry.quarantineCount);
}

bool
suspicion_table::RemembersQuarantine(const entry& aEntry, time_point aNow)
{
  const duration lifetime = QuarantineLifetime(aEntry.quarantineCount);
  return aEntry.quarantineCount > 0 && aNow < aEntry.quarantinedAt + lifetime + kQuarantineMemory;
}

bool
suspicion_table::IsExpired(const entry& aEntry, time_point aNow)
{
  const bool recentCrash =
    std::any_of(aEntry.crashes.begin(), aEntry.crashes.end(), [aNow](const crash& aCrash) {
      return aNow < aCrash.at + kSuspectLifetime;
    });
  const bool recentRun = aNow < aEntry.completedAt + kAcquittalTime;
  return !recentCrash && !recentRun && !RemembersQuarantine(aEntry, aNow);
}

const suspicion_table::entry*
suspicion_table::Find(std::uint64_t aFingerprint) const
{
  const auto found = mEntries.find(aFingerprint);
  return found == mEntries.end() ? nullptr : &found->second;
}

poison_check
suspicion_table::Check(std::uint64_t aFingerprint, time_point aNow) const
{
  const entry* found = Find(aFingerprint);
  if (found == nullptr) {
    return {};
  }
  if (IsQuarantined(*found, aNow)) {
    const time_point end = found->quarantinedAt + QuarantineLifetime(found->quarantineCount);
    return { poison_verdict::quarantined, end - aNow, aFingerprint };
  }
  const bool isolate =
    std::any_of(found->crashes.begin(), found->crashes.end(), [aNow](const crash& aCrash) {
      return aCrash.isolates && Counts(aCrash, aNow);
    });
  return { isolate ? poison_verdict::isolate : poison_verdict::clear, {}, 0 };
}

std::uint32_t
suspicion_table::Weight(std::uint64_t aFingerprint, time_point aNow) const
{
  const entry* found = Find(aFingerprint);
  std::uint32_t weight = 0;
  for (const crash& counted : found == nullptr ? std::vector<crash>{} : found->crashes) {
    weight += Counts(counted, aNow) ? counted.weight : 0;
  }
  return weight;
}

std::uint32_t
suspicion_table::IsolatingWeight(std::uint64_t aFingerprint,
                                 std::uint64_t aExcept,
                                 time_point aNow) const
{
  const entry* found = Find(aFingerprint);
  std::uint32_t weight = 0;
  for (const crash& counted : found == nullptr ? std::vector<crash>{} : found->crashes) {
    const bool counts = counted.isolates && counted.id != aExcept && Counts(counted, aNow);
    weight += counts ? counted.weight : 0;
  }
  return weight;
}

bool
suspicion_table::RanToItsEnd(std::uint64_t aFingerprint, time_point aNow) const
{
  const entry* found = Find(aFingerprint);
  return found != nullptr && aNow < found->completedAt + kAcquittalTime;
}

bool
suspicion_table::WasQuarantined(std::uint64_t aFingerprint, time_point aNow) const
{
  const entry* found = Find(aFingerprint);
  return found != nullptr && !found->lifted && RemembersQuarantine(*found, aNow) &&
         !IsQuarantined(*found, aNow);
}

bool
suspicion_table::Store(entry& aEntry, const crash& aCrash)
{
  const auto known =
    std::find_if(aEntry.crashes.begin(), aEntry.crashes.end(), [&aCrash](const crash& aOther) {
      return aOther.id == aCrash.id;
    });
  if (known != aEntry.crashes.end()) {
    const crash before = *known;
    known->withdrawn = known->withdrawn || aCrash.withdrawn;
    known->isolates = known->isolates || aCrash.isolates;
    known->weight = std::max(known->weight, aCrash.weight);
    return known->withdrawn != before.withdrawn || known->isolates != before.isolates ||
           known->weight != before.weight;
  }
  if (aEntry.crashes.size() >= kMaxCrashesPerRequest) {
    aEntry.crashes.erase(aEntry.crashes.begin());
  }
  aEntry.crashes.push_back(aCrash);
  return true;
}

suspicion_changes
suspicion_table::AddCrash(const peers::crash_message& aCrash, time_point aNow)
{
  const crash added{ aCrash.crash, aCrash.weight, aCrash.isolates, false, aNow };
  suspicion_changes changes;
  if (Store(Touch(aCrash.fingerprint), added)) {
    changes.crashes.push_back(aCrash);
  }
  changes.Append(Judge(aCrash.fingerprint, aNow));
  return changes;
}

suspicion_changes
suspicion_table::Judge(std::uint64_t aFingerprint, time_point aNow)
{
  const entry* found = Find(aFingerprint);
  if (found == nullptr || IsQuarantined(*found, aNow)) {
    return {};
  }
  const std::uint32_t weight = Weight(aFingerprint, aNow);
  const bool relapsed = WasQuarantined(aFingerprint, aNow) && weight >= kEarlyCrashWeight;
  return weight >= kQuarantineWeight || relapsed ? Quarantine(aFingerprint, aNow)
                                                 : suspicion_changes{};
}

suspicion_changes
suspicion_table::Quarantine(std::uint64_t aFingerprint, time_point aNow)
{
  entry& suspect = Touch(aFingerprint);
  ++suspect.quarantineCount;
  suspect.lifted = false;
  suspect.quarantinedAt = aNow;
  suspicion_changes changes;
  changes.quarantines.push_back({ aFingerprint, suspect.quarantineCount, false, {} });
  return changes;
}

suspicion_changes
suspicion_table::Clear(std::uint64_t aFingerprint, time_point aNow)
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end()) {
    return {};
  }
  entry& cleared = found->second;
  cleared.completedAt = aNow;
  suspicion_changes changes;
  for (crash& counted : cleared.crashes) {
    if (Counts(counted, aNow)) {
      counted.withdrawn = true;
      changes.crashes.push_back(
        { aFingerprint, counted.id, counted.weight, counted.isolates, true, aNow - counted.at });
    }
  }
  if (cleared.quarantineCount > 0 && !cleared.lifted && RemembersQuarantine(cleared, aNow)) {
    cleared.lifted = true;
    changes.quarantines.push_back(
      { aFingerprint, cleared.quarantineCount, true, aNow - cleared.quarantinedAt });
  }
  return changes;
}

suspicion_changes
suspicion_table::Apply(const peers::crash_message& aMessage, time_point aNow)
{
  const time_point at = aNow - aMessage.age;
  if (at + kSuspectLifetime <= aNow) {
    return {};
  }
  entry& suspect = Touch(aMessage.fingerprint);
  const bool withdrawn = aMessage.withdrawn || at <= suspect.completedAt;
  const bool changed =
    Store(suspect, { aMessage.crash, aMessage.weight, aMessage.isolates, withdrawn, at });
  return changed && !withdrawn ? Judge(aMessage.fingerprint, aNow) : suspicion_changes{};
}

void
suspicion_table::Apply(const peers::quarantine_message& aMessage, time_point aNow)
{
  const time_point at = aNow - aMessage.age;
  const duration lifetime = QuarantineLifetime(aMessage.count);
  if (aMessage.count == 0 || at + lifetime + kQuarantineMemory <= aNow) {
    return;
  }
  entry& changed = Touch(aMessage.fingerprint);
  const bool isNewer = aMessage.count > changed.quarantineCount;
  const bool lifts =
    aMessage.count == changed.quarantineCount && !changed.lifted && aMessage.lifted;
  if (isNewer) {
    changed.quarantineCount = aMessage.count;
    changed.lifted = aMessage.lifted;
    changed.quarantinedAt = at;
  }
  if (lifts || (isNewer && aMessage.lifted)) {
    // The withdrawals of the crashes may arrive later, or not at all.
    changed.lifted = true;
    for (crash& counted : changed.crashes) {
      counted.withdrawn = true;
    }
  }
}

void
suspicion_table::AppendEntry(suspicion_changes& aTo,
                             std::uint64_t aFingerprint,
                             const entry& aEntry,
                             bool aWithCrashes,
                             time_point aNow)
{
  for (const crash& known : aWithCrashes ? aEntry.crashes : std::vector<crash>{}) {
    if (aNow < known.at + kSuspectLifetime) {
      aTo.crashes.push_back(
        { aFingerprint, known.id, known.weight, known.isolates, known.withdrawn, aNow - known.at });
    }
  }
  if (RemembersQuarantine(aEntry, aNow)) {
    aTo.quarantines.push_back(
      { aFingerprint, aEntry.quarantineCount, aEntry.lifted, aNow - aEntry.quarantinedAt });
  }
}

suspicion_changes
suspicion_table::Entries(time_point aNow) const
{
  suspicion_changes result;
  for (const std::uint64_t fingerprint : mByAge) {
    AppendEntry(result, fingerprint, mEntries.at(fingerprint), true, aNow);
  }
  return result;
}

suspicion_changes
suspicion_table::LastingEntries(time_point aNow) const
{
  suspicion_changes result;
  for (const auto& [fingerprint, present] : mEntries) {
    const bool nearQuarantine = Weight(fingerprint, aNow) >= kStoredWeight;
    AppendEntry(result, fingerprint, present, nearQuarantine, aNow);
  }
  return result;
}

suspicion_counts
suspicion_table::Count(time_point aNow) const
{
  suspicion_counts counts;
  for (const auto& [fingerprint, present] : mEntries) {
    counts.suspects += Weight(fingerprint, aNow) > 0 ? 1 : 0;
    counts.quarantined += IsQuarantined(present, aNow) ? 1 : 0;
  }
  return counts;
}

void
suspicion_table::Prune(time_point aNow)
{
  for (auto current = mByAge.begin(); current != mByAge.end();) {
    const std::uint64_t fingerprint = *current++;
    if (IsExpired(mEntries.at(fingerprint), aNow)) {
      Remove(fingerprint);
    }
  }
}

suspicion_table::entry&
suspicion_table::Touch(std::uint64_t aFingerprint)
{
  const auto found = mEntries.find(aFingerprint);
  if (found != mEntries.end()) {
    mByAge.splice(mByAge.end(), mByAge, found->second.agePosition);
    return found->second;
  }
  if (mEntries.size() >= kMaxSuspects) {
    Evict();
  }
  const auto position = mByAge.insert(mByAge.end(), aFingerprint);
  entry& added = mEntries[aFingerprint];
  added.agePosition = position;
  return added;
}

void
suspicion_table::Evict()
{
  std::size_t scanned = 0;
  for (const std::uint64_t fingerprint : mByAge) {
    if (mEntries.at(fingerprint).quarantineCount == 0) {
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
suspicion_table::Remove(std::uint64_t aFingerprint)
{
  const auto found = mEntries.find(aFingerprint);
  mByAge.erase(found->second.agePosition);
  mEntries.erase(found);
}

} // namespace persimmon::poison
