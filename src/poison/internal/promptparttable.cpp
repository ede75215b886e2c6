#include "poison/promptparttable.h"

#include <algorithm>
#include <tuple>

namespace persimmon::poison {

bool
prompt_part_table::Counts(const crash& aCrash, time_point aNow)
{
  return !aCrash.withdrawn && aNow < aCrash.at + kSuspectLifetime;
}

bool
prompt_part_table::InQuarantine(const entry& aEntry, time_point aNow)
{
  return aEntry.quarantineCount > 0 && !aEntry.lifted &&
         aNow < aEntry.quarantinedAt + QuarantineLifetime(aEntry.quarantineCount);
}

bool
prompt_part_table::RemembersQuarantine(const entry& aEntry, time_point aNow)
{
  const duration lifetime = QuarantineLifetime(aEntry.quarantineCount);
  return aEntry.quarantineCount > 0 && aNow < aEntry.quarantinedAt + lifetime + kQuarantineMemory;
}

bool
prompt_part_table::IsExpired(const entry& aEntry, time_point aNow)
{
  const bool recentCrash =
    std::any_of(aEntry.crashes.begin(), aEntry.crashes.end(), [aNow](const crash& aCrash) {
      return aNow < aCrash.at + kSuspectLifetime;
    });
  return !recentCrash && !RemembersQuarantine(aEntry, aNow);
}

poison_check
prompt_part_table::Check(std::uint64_t aPart, time_point aNow) const
{
  const auto found = mEntries.find(aPart);
  if (found == mEntries.end() || found->second.explained || !InQuarantine(found->second, aNow)) {
    return {};
  }
  const entry& refused = found->second;
  const time_point end = refused.quarantinedAt + QuarantineLifetime(refused.quarantineCount);
  return { poison_verdict::quarantined, end - aNow, aPart };
}

bool
prompt_part_table::IsVoid(std::uint64_t aPart, time_point aAt, time_point aNow) const
{
  const auto begin = mSound.LatestBegin(aPart, aNow);
  return begin && aAt <= *begin + kSoundMargin;
}

bool
prompt_part_table::WasSound(std::uint64_t aPart, time_point aNow) const
{
  return mSound.LatestBegin(aPart, aNow).has_value();
}

std::uint32_t
prompt_part_table::Weight(const entry& aEntry, time_point aNow)
{
  std::uint32_t weight = 0;
  for (const crash& counted : aEntry.crashes) {
    weight += Counts(counted, aNow) ? counted.weight : 0;
  }
  return weight;
}

std::uint32_t
prompt_part_table::WeightOf(std::uint64_t aPart, time_point aNow) const
{
  const auto found = mEntries.find(aPart);
  return found != mEntries.end() ? Weight(found->second, aNow) : 0;
}

std::uint32_t
prompt_part_table::OwnWeight(const entry& aEntry, time_point aNow) const
{
  std::uint32_t weight = 0;
  for (const crash& counted : aEntry.crashes) {
    const bool own = Counts(counted, aNow) && !IsExplained(counted.id);
    weight += own ? counted.weight : 0;
  }
  return weight;
}

std::vector<prompt_part_table::standing>
prompt_part_table::Standings(time_point aNow) const
{
  std::vector<standing> standings;
  for (const auto& [part, present] : mEntries) {
    const std::uint32_t weight = Weight(present, aNow);
    if (weight >= kQuarantineWeight || (weight > 0 && present.quarantineCount > 0)) {
      const auto& crashes = present.crashes;
      const auto count = std::count_if(crashes.begin(), crashes.end(), [aNow](const crash& aCrash) {
        return Counts(aCrash, aNow);
      });
      standings.push_back({ part, static_cast<std::size_t>(count), weight });
    }
  }
  std::sort(standings.begin(), standings.end(), [](const standing& aLeft, const standing& aRight) {
    return std::tuple(aRight.crashes, aRight.weight, aLeft.part) <
           std::tuple(aLeft.crashes, aLeft.weight, aRight.part);
  });
  return standings;
}

bool
prompt_part_table::Store(entry& aEntry, const crash& aCrash)
{
  const auto known =
    std::find_if(aEntry.crashes.begin(), aEntry.crashes.end(), [&aCrash](const crash& aOther) {
      return aOther.id == aCrash.id;
    });
  if (known != aEntry.crashes.end()) {
    const crash before = *known;
    known->withdrawn = known->withdrawn || aCrash.withdrawn;
    known->weight = std::max(known->weight, aCrash.weight);
    known->told = known->told || aCrash.told;
    return known->withdrawn != before.withdrawn || known->weight != before.weight;
  }
  if (aEntry.crashes.size() >= kMaxCrashesPerPart) {
    aEntry.crashes.erase(aEntry.crashes.begin());
  }
  aEntry.crashes.push_back(aCrash);
  return true;
}

suspicion_changes
prompt_part_table::Judge(time_point aNow)
{
  suspicion_changes changes;
  mExplained.clear();
  mExpected.clear();
  const std::vector<standing> standings = Standings(aNow);
  for (auto first = standings.begin(); first != standings.end();) {
    // Parts with the same crashes can't be told apart: none of them explains the others.
    const auto last = std::find_if(first, standings.end(), [first](const standing& aOther) {
      return aOther.crashes != first->crashes || aOther.weight != first->weight;
    });
    std::vector<std::uint64_t> explained;
    for (; first != last; ++first) {
      if (JudgePart(*first, changes, aNow)) {
        const entry& cause = mEntries.at(first->part);
        for (const crash& counted : cause.crashes) {
          explained.push_back(counted.id);
          if (counted.at > cause.quarantinedAt) {
            mExpected.insert(counted.id);
          }
        }
      }
    }
    mExplained.insert(explained.begin(), explained.end());
  }
  return changes;
}

bool
prompt_part_table::JudgePart(const standing& aStanding,
                             suspicion_changes& aChanges,
                             time_point aNow)
{
  entry& judged = mEntries.at(aStanding.part);
  const std::uint32_t own = OwnWeight(judged, aNow);
  const bool relapsed = judged.quarantineCount > 0 && !judged.lifted && own >= kEarlyCrashWeight &&
                        RemembersQuarantine(judged, aNow);
  if (own >= kQuarantineWeight || relapsed) {
    judged.explained = false;
    if (!InQuarantine(judged, aNow)) {
      Quarantine(aStanding.part, aChanges, aNow);
    }
  } else if (aStanding.weight >= kQuarantineWeight) {
    // With less, the crashes that gave cause for the quarantine are not all known here.
    judged.explained = true;
  }
  return InQuarantine(judged, aNow) && !judged.explained;
}

void
prompt_part_table::Quarantine(std::uint64_t aPart, suspicion_changes& aChanges, time_point aNow)
{
  entry& refused = mEntries.at(aPart);
  ++refused.quarantineCount;
  refused.lifted = false;
  refused.quarantinedAt = aNow;
  aChanges.quarantines.push_back({ aPart, refused.quarantineCount, false, {} });
}

bool
prompt_part_table::IsUnfounded(const entry& aEntry, std::uint32_t aWeightBefore, time_point aNow)
{
  // With less weight before, the crashes that gave cause for the quarantine are not all known here.
  return InQuarantine(aEntry, aNow) && aWeightBefore >= kQuarantineWeight &&
         Weight(aEntry, aNow) < kQuarantineWeight;
}

void
prompt_part_table::Lift(std::uint64_t aPart,
                        entry& aEntry,
                        suspicion_changes& aChanges,
                        time_point aNow)
{
  aEntry.lifted = true;
  aChanges.quarantines.push_back(
    { aPart, aEntry.quarantineCount, true, aNow - aEntry.quarantinedAt });
}

suspicion_changes
prompt_part_table::AddCrash(const peers::crash_message& aCrash, time_point aNow)
{
  const crash added{ aCrash.crash, aCrash.weight, false, aNow - aCrash.age };
  suspicion_changes changes;
  if (Store(Touch(aCrash.fingerprint), added)) {
    changes.crashes.push_back(aCrash);
    changes.Append(Judge(aNow));
  }
  return changes;
}

void
prompt_part_table::KeepToItself(const peers::crash_message& aCrash)
{
  for (crash& known : Touch(aCrash.fingerprint).crashes) {
    known.told = known.told && known.id != aCrash.crash;
  }
}

void
prompt_part_table::Withdraw(std::uint64_t aPart,
                            crash& aCrash,
                            suspicion_changes& aChanges,
                            time_point aNow)
{
  aCrash.withdrawn = true;
  if (aCrash.told) {
    aChanges.crashes.push_back({ aPart, aCrash.id, aCrash.weight, false, true, aNow - aCrash.at });
  }
}

suspicion_changes
prompt_part_table::Withdraw(std::uint64_t aPart, std::uint64_t aCrash, time_point aNow)
{
  const auto found = mEntries.find(aPart);
  if (found == mEntries.end()) {
    return {};
  }
  entry& suspect = found->second;
  const std::uint32_t weightBefore = Weight(suspect, aNow);
  suspicion_changes changes;
  for (crash& counted : suspect.crashes) {
    if (counted.id == aCrash && Counts(counted, aNow)) {
      Withdraw(aPart, counted, changes, aNow);
    }
  }
  if (IsUnfounded(suspect, weightBefore, aNow)) {
    Lift(aPart, suspect, changes, aNow);
  }
  if (Weight(suspect, aNow) != weightBefore) {
    changes.Append(Judge(aNow));
  }
  return changes;
}

suspicion_changes
prompt_part_table::RecordSound(std::uint64_t aPart, time_point aBegunAt, time_point aNow)
{
  mSound.Record(aPart, aBegunAt);
  const auto found = mEntries.find(aPart);
  if (found == mEntries.end()) {
    return {};
  }
  entry& sound = found->second;
  const time_point until = aBegunAt + kSoundMargin;
  const std::uint32_t weightBefore = Weight(sound, aNow);
  bool anyWithdrawn = false;
  suspicion_changes changes;
  for (crash& counted : sound.crashes) {
    if (Counts(counted, aNow) && counted.at <= until) {
      anyWithdrawn = true;
      Withdraw(aPart, counted, changes, aNow);
    }
  }
  const bool isSince = InQuarantine(sound, aNow) && sound.quarantinedAt <= until;
  if (isSince || IsUnfounded(sound, weightBefore, aNow)) {
    Lift(aPart, sound, changes, aNow);
  }
  if (anyWithdrawn || !changes.Empty()) {
    changes.Append(Judge(aNow));
  }
  return changes;
}

suspicion_changes
prompt_part_table::Apply(const peers::crash_message& aMessage, time_point aNow)
{
  const time_point at = aNow - aMessage.age;
  if (at + kSuspectLifetime <= aNow) {
    return {};
  }
  const bool refuted = !aMessage.withdrawn && IsVoid(aMessage.fingerprint, at, aNow);
  const bool withdrawn = aMessage.withdrawn || refuted;
  entry& suspect = Touch(aMessage.fingerprint);
  const std::uint32_t weightBefore = Weight(suspect, aNow);
  if (!Store(suspect, { aMessage.crash, aMessage.weight, withdrawn, at })) {
    return {};
  }
  suspicion_changes changes;
  if (IsUnfounded(suspect, weightBefore, aNow)) {
    Lift(aMessage.fingerprint, suspect, changes, aNow);
  }
  changes.Append(Judge(aNow));
  if (refuted) {
    changes.crashes.push_back(aMessage);
    changes.crashes.back().withdrawn = true;
  }
  return changes;
}

suspicion_changes
prompt_part_table::Apply(const peers::quarantine_message& aMessage, time_point aNow)
{
  const time_point at = aNow - aMessage.age;
  const duration lifetime = QuarantineLifetime(aMessage.count);
  if (aMessage.count == 0 || at + lifetime + kQuarantineMemory <= aNow) {
    return {};
  }
  entry& changed = Touch(aMessage.fingerprint);
  const bool refuted = !aMessage.lifted && IsVoid(aMessage.fingerprint, at, aNow);
  const bool lifted = aMessage.lifted || refuted;
  const bool isNewer = aMessage.count > changed.quarantineCount;
  const bool lifts = aMessage.count == changed.quarantineCount && !changed.lifted && lifted;
  if (isNewer) {
    changed.quarantineCount = aMessage.count;
    changed.lifted = lifted;
    changed.explained = false;
    changed.quarantinedAt = at;
  }
  if (lifts || (isNewer && lifted)) {
    changed.lifted = true;
    // The withdrawals of the crashes may arrive later, or not at all.
    for (crash& counted : changed.crashes) {
      counted.withdrawn = counted.withdrawn || counted.at <= aNow - aMessage.age;
    }
  }
  suspicion_changes changes = Judge(aNow);
  if (refuted && (isNewer || lifts)) {
    changes.quarantines.push_back(aMessage);
    changes.quarantines.back().lifted = true;
  }
  return changes;
}

suspicion_changes
prompt_part_table::LastingEntries(time_point aNow) const
{
  suspicion_changes result;
  for (const auto& [part, present] : mEntries) {
    if (RemembersQuarantine(present, aNow) && !present.explained) {
      result.quarantines.push_back(
        { part, present.quarantineCount, present.lifted, aNow - present.quarantinedAt });
    }
  }
  std::sort(result.quarantines.begin(),
            result.quarantines.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.age < aRight.age; });
  if (result.quarantines.size() > kMaxLastingParts) {
    result.quarantines.resize(kMaxLastingParts);
  }
  return result;
}

suspicion_counts
prompt_part_table::Count(time_point aNow) const
{
  suspicion_counts counts;
  for (const auto& [part, present] : mEntries) {
    counts.suspects += Weight(present, aNow) > 0 ? 1 : 0;
    counts.quarantined += Check(part, aNow).verdict == poison_verdict::quarantined ? 1 : 0;
  }
  return counts;
}

void
prompt_part_table::Prune(time_point aNow)
{
  mSound.Prune(aNow);
  for (auto current = mByAge.begin(); current != mByAge.end();) {
    const std::uint64_t part = *current++;
    if (IsExpired(mEntries.at(part), aNow)) {
      Remove(part);
    }
  }
}

prompt_part_table::entry&
prompt_part_table::Touch(std::uint64_t aPart)
{
  const auto found = mEntries.find(aPart);
  if (found != mEntries.end()) {
    mByAge.splice(mByAge.end(), mByAge, found->second.agePosition);
    return found->second;
  }
  if (mEntries.size() >= kMaxSuspectParts) {
    Evict();
  }
  const auto position = mByAge.insert(mByAge.end(), aPart);
  entry& added = mEntries[aPart];
  added.agePosition = position;
  return added;
}

void
prompt_part_table::Evict()
{
  const auto suspect = std::find_if(mByAge.begin(), mByAge.end(), [this](std::uint64_t aPart) {
    return mEntries.at(aPart).quarantineCount == 0;
  });
  Remove(suspect != mByAge.end() ? *suspect : mByAge.front());
}

void
prompt_part_table::Remove(std::uint64_t aPart)
{
  const auto found = mEntries.find(aPart);
  mByAge.erase(found->second.agePosition);
  mEntries.erase(found);
}

} // namespace persimmon::poison
