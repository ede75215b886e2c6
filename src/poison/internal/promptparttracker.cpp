#include "poison/promptparttracker.h"

#include "base/hash.h"
#include "poison/suspicionlog.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace persimmon::poison {

poison_check
prompt_part_tracker::Check(const std::vector<std::uint64_t>& aParts, time_point aNow) const
{
  poison_check worst;
  for (const std::uint64_t part : aParts) {
    const poison_check check = mTable.Check(part, aNow);
    if (check.verdict == poison_verdict::quarantined && check.remaining > worst.remaining) {
      worst = check;
    }
  }
  return worst;
}

std::vector<std::uint64_t>
prompt_part_tracker::Refused(const std::vector<std::uint64_t>& aParts, time_point aNow) const
{
  std::vector<std::uint64_t> refused;
  std::copy_if(aParts.begin(), aParts.end(), std::back_inserter(refused), [&](std::uint64_t aPart) {
    return mTable.Check(aPart, aNow).verdict == poison_verdict::quarantined;
  });
  return refused;
}

bool
prompt_part_tracker::IsResponsible(std::uint64_t aPart) const
{
  const std::string key = FingerprintText(aPart);
  const std::uint64_t own = RendezvousWeight(key, mSelf.value);
  return std::none_of(mLive.begin(), mLive.end(), [&](const router_id& aOther) {
    return RendezvousWeight(key, aOther.value) > own;
  });
}

poison_check
prompt_part_tracker::CheckOrTry(const request_identities& aRequest, time_point aNow)
{
  const std::vector<std::uint64_t> refused = Refused(aRequest.promptParts, aNow);
  if (refused.empty()) {
    return {};
  }
  const bool allWereSound =
    std::all_of(refused.begin(), refused.end(), [this, aNow](std::uint64_t aPart) {
      return mTable.HasSoundHistory(aPart, aNow);
    });
  const std::uint64_t first = refused.front();
  // The verdict on the part may be wrong and hide that on another one.
  const bool alone = std::none_of(
    aRequest.promptParts.begin(), aRequest.promptParts.end(), [&](std::uint64_t aPart) {
      return aPart != first && mTable.WeightOf(aPart, aNow) >= kQuarantineWeight;
    });
  const bool tried =
    allWereSound && IsResponsible(first) && mTrials.Admits(first, aRequest.request, alone, aNow);
  return tried ? poison_check{} : Check(aRequest.promptParts, aNow);
}

void
prompt_part_tracker::RecordDispatch(const attempt_id& aAttempt,
                                    const upstream_id& aUpstream,
                                    const request_identities& aRequest,
                                    time_point aNow)
{
  if (aRequest.promptParts.empty()) {
    return;
  }
  running_attempt started;
  started.upstream = aUpstream;
  started.request = aRequest;
  started.sentAt = aNow;
  const std::vector<std::uint64_t> refused = Refused(aRequest.promptParts, aNow);
  if (!refused.empty()) {
    started.triedPart = refused.front();
    mTrials.OnDispatch(started.triedPart, aRequest.request, aNow);
  }
  mRunning[aAttempt] = std::move(started);
}

void
prompt_part_tracker::RecordEnd(const attempt_id& aAttempt)
{
  const auto found = mRunning.find(aAttempt);
  if (found != mRunning.end()) {
    mTrials.OnEnd(found->second.triedPart, found->second.request.request);
    mRunning.erase(found);
  }
}

void
prompt_part_tracker::RecordHead(const attempt_id& aAttempt, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found != mRunning.end() && !found->second.headAt) {
    found->second.headAt = aNow;
  }
}

suspicion_changes
prompt_part_tracker::RecordData(const attempt_id& aAttempt, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found == mRunning.end() || found->second.sound || !found->second.headAt) {
    return {};
  }
  running_attempt& running = found->second;
  running.dataAt = running.dataAt.value_or(aNow);
  const bool goesOn = aNow - *running.dataAt >= kSoundResponseTime;
  return goesOn ? RecordSound(running, aNow) : suspicion_changes{};
}

suspicion_changes
prompt_part_tracker::RecordCompletion(const attempt_id& aAttempt, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found == mRunning.end()) {
    return {};
  }
  suspicion_changes changes;
  if (found->second.headAt && !found->second.sound) {
    changes = RecordSound(found->second, aNow);
  }
  RecordEnd(aAttempt);
  return changes;
}

suspicion_changes
prompt_part_tracker::RecordSound(running_attempt& aAttempt, time_point aNow)
{
  aAttempt.sound = true;
  suspicion_changes changes;
  for (const std::uint64_t part : aAttempt.request.promptParts) {
    changes.Append(mTable.RecordSound(part, *aAttempt.headAt, aNow));
    mTrials.OnSound(part);
  }
  return changes;
}

std::uint64_t
prompt_part_tracker::CrashOf(const upstream_id& aUpstream) const
{
  const auto found = mSilences.find(aUpstream);
  const std::uint32_t ended = found == mSilences.end() ? 0 : found->second.ended;
  return HashText(ended == 0 ? aUpstream.value : fmt::format("{}#{}", aUpstream.value, ended));
}

std::uint32_t
prompt_part_tracker::CrashWeight(const running_attempt& aAttempt, time_point aNow)
{
  if (aAttempt.sound) {
    return 0;
  }
  if (!aAttempt.headAt) {
    return kLateCrashWeight;
  }
  const bool early = !aAttempt.dataAt || aNow - *aAttempt.dataAt <= kHarmfulResponseTime;
  return early ? kEarlyCrashWeight : 0;
}

void
prompt_part_tracker::SetLost(running_attempt& aAttempt, loss_kind aKind, time_point aNow)
{
  const bool certain = aKind != loss_kind::perhaps_stalled_before;
  const std::uint32_t weight = CrashWeight(aAttempt, aNow);
  aAttempt.lossWeight = certain ? weight : std::min(weight, kLateCrashWeight);
  aAttempt.lostAt = aNow;
}

suspicion_changes
prompt_part_tracker::RecordLoss(const attempt_id& aAttempt, loss_kind aKind, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found == mRunning.end()) {
    return {};
  }
  SetLost(found->second, aKind, aNow);
  mTrials.OnEnd(found->second.triedPart, found->second.request.request);
  return aKind == loss_kind::broken_off ? CountCrash(found->second, aNow) : suspicion_changes{};
}

suspicion_changes
prompt_part_tracker::RecordCrash(const upstream_id& aUpstream, time_point aNow)
{
  // Crashes are rare: a search of all attempts costs less than an index updated at each dispatch.
  suspicion_changes changes;
  for (auto current = mRunning.begin(); current != mRunning.end();) {
    running_attempt& running = current->second;
    const bool lost = running.upstream == aUpstream;
    if (lost && !running.lostAt) {
      SetLost(running, loss_kind::broken_off, aNow);
    }
    if (lost) {
      changes.Append(CountCrash(running, aNow));
    }
    current = lost ? mRunning.erase(current) : std::next(current);
  }
  return changes;
}

suspicion_changes
prompt_part_tracker::RecordSilence(const upstream_id& aUpstream,
                                   time_point aHeardAt,
                                   time_point aNow)
{
  if (mSilences.size() >= kMaxSilences && !mSilences.contains(aUpstream)) {
    return {};
  }
  suspicion_changes changes;
  for (auto& [id, running] : mRunning) {
    if (running.upstream != aUpstream || running.counted) {
      continue;
    }
    const std::optional<time_point> lostAt = running.lostAt;
    if (!lostAt) {
      SetLost(running, loss_kind::stalled, std::max(aHeardAt, running.sentAt));
    }
    changes.Append(CountCrash(running, aNow));
    running.lostAt = lostAt;
    if (running.counted) {
      silence& present = mSilences[aUpstream];
      present.changedAt = aNow;
      const auto& parts = running.request.promptParts;
      present.parts.insert(present.parts.end(), parts.begin(), parts.end());
    }
  }
  return changes;
}

suspicion_changes
prompt_part_tracker::RecordSignOfLife(const upstream_id& aUpstream, time_point aNow)
{
  const auto found = mSilences.find(aUpstream);
  if (found == mSilences.end() || found->second.parts.empty()) {
    return {};
  }
  const std::uint64_t crash = CrashOf(aUpstream);
  std::erase_if(mSettling, [crash](const settling_crash& aSettling) {
    return aSettling.message.crash == crash && !aSettling.received;
  });
  for (auto& [id, running] : mRunning) {
    running.counted = running.counted && running.upstream != aUpstream;
  }
  suspicion_changes changes;
  silence& ended = found->second;
  for (const std::uint64_t part : std::exchange(ended.parts, {})) {
    changes.Append(mTable.Withdraw(part, crash, aNow));
  }
  ++ended.ended;
  ended.changedAt = aNow;
  return changes;
}

suspicion_changes
prompt_part_tracker::CountCrash(running_attempt& aAttempt, time_point aNow)
{
  suspicion_changes changes;
  if (aAttempt.counted || aAttempt.lossWeight == 0) {
    return changes;
  }
  aAttempt.counted = true;
  peers::crash_message crash;
  crash.crash = CrashOf(aAttempt.upstream);
  crash.weight = aAttempt.lossWeight;
  crash.age = aNow - *aAttempt.lostAt;
  // Parts in quarantine come first: they explain the crash, so that it doesn't count against
  // others.
  std::vector<std::uint64_t> parts = aAttempt.request.promptParts;
  std::stable_partition(parts.begin(), parts.end(), [this, aNow](std::uint64_t aPart) {
    return mTable.Check(aPart, aNow).verdict == poison_verdict::quarantined;
  });
  for (const std::uint64_t part : parts) {
    crash.fingerprint = part;
    changes.Append(CountCrash(crash, aNow));
  }
  return changes;
}

suspicion_changes
prompt_part_tracker::CountCrash(const peers::crash_message& aCrash, time_point aNow)
{
  const std::uint64_t part = aCrash.fingerprint;
  const time_point at = aNow - aCrash.age;
  if (mTable.IsVoid(part, at, aNow)) {
    return {};
  }
  if (mTable.Check(part, aNow).verdict == poison_verdict::quarantined) {
    return AddCrash(aCrash, aNow);
  }
  if (mTable.WasExpected(aCrash.crash)) {
    return {};
  }
  if (mTable.WasSound(part, aNow) && aNow < at + kSettlingTime) {
    LetSettle({ aCrash, at, false });
    return {};
  }
  const bool settled = aNow >= at + kSettlingTime;
  if (settled && mTable.IsExplained(aCrash.crash)) {
    return {};
  }
  return AddCrash(aCrash, aNow);
}

void
prompt_part_tracker::LetSettle(const settling_crash& aCrash)
{
  mSettling.push_back(aCrash);
  if (mSettling.size() > kMaxSettling) {
    mSettling.pop_front();
  }
}

suspicion_changes
prompt_part_tracker::AddCrash(const peers::crash_message& aCrash, time_point aNow)
{
  const double reserve = mTable.WeightOf(aCrash.fingerprint, aNow) > 0 ? 0 : kPartNewsReserve;
  suspicion_changes changes = mTable.AddCrash(aCrash, aNow);
  if (!changes.crashes.empty() && !mNews.Take(reserve, aNow)) {
    mTable.KeepToItself(aCrash);
    changes.crashes.clear();
  }
  return changes;
}

suspicion_changes
prompt_part_tracker::Settle(time_point aNow)
{
  std::deque<settling_crash> due;
  const auto isDue = [aNow](const settling_crash& aCrash) {
    return aCrash.at + kSettlingTime <= aNow;
  };
  std::copy_if(mSettling.begin(), mSettling.end(), std::back_inserter(due), isDue);
  std::erase_if(mSettling, isDue);
  suspicion_changes changes;
  for (settling_crash& settled : due) {
    settled.message.age = aNow - settled.at;
    changes.Append(settled.received ? mTable.Apply(settled.message, aNow)
                                    : CountCrash(settled.message, aNow));
  }
  return changes;
}

suspicion_changes
prompt_part_tracker::Apply(const peers::crash_message& aMessage, time_point aNow)
{
  const std::uint64_t part = aMessage.fingerprint;
  const time_point at = aNow - aMessage.age;
  const bool settles = !aMessage.withdrawn && !mTable.IsVoid(part, at, aNow) &&
                       mTable.WasSound(part, aNow) && aNow < at + kSettlingTime;
  if (settles) {
    LetSettle({ aMessage, at, true });
    return {};
  }
  return mTable.Apply(aMessage, aNow);
}

suspicion_changes
prompt_part_tracker::Apply(const suspicion_changes& aMessages, time_point aNow)
{
  suspicion_changes changes;
  for (const peers::quarantine_message& message : aMessages.quarantines) {
    changes.Append(mTable.Apply(message, aNow));
  }
  for (const peers::crash_message& message : aMessages.crashes) {
    changes.Append(Apply(message, aNow));
  }
  return changes;
}

void
prompt_part_tracker::SetProcesses(const router_id& aSelf, const std::vector<router_id>& aLive)
{
  mSelf = aSelf;
  mLive = aLive;
  mNews.SetRate(kMaxPartNewsPerSecond /
                static_cast<double>(std::max<std::size_t>(aLive.size(), 1)));
}

void
prompt_part_tracker::Prune(time_point aNow)
{
  mTable.Prune(aNow);
  mTrials.Prune(aNow);
  std::erase_if(mSilences, [aNow](const auto& aSilence) {
    return aSilence.second.changedAt + kSuspectLifetime <= aNow;
  });
}

} // namespace persimmon::poison
