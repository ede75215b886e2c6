#include "poison/tests/mocks/promptpartplay.h"

#include <algorithm>
#include <utility>

namespace persimmon::poison {
namespace {

constexpr duration kStep = 10_ms;
constexpr double kStepsPerSecond = 100;
/// Time from the arrival of a call to the begin of its response.
constexpr std::uint64_t kShortestWait = 60;
constexpr std::uint64_t kWaitSpread = 100;
constexpr duration kEventGap = 50_ms;
constexpr duration kResponseTime = 1750_ms;
/// Time from the begin of a response to the crash.
constexpr std::uint64_t kShortestRun = 30;
constexpr std::uint64_t kRunSpread = 41;
constexpr std::size_t kFifth = 4;
/// Time from the begin of a silence until a process finds it: streams that stand still, and two
/// requests for a report that are not answered.
constexpr std::uint64_t kShortestFinding = 590;
constexpr std::uint64_t kFindingSpread = 471;
/// Time from the end of a silence until a process that found it hears of that.
constexpr std::uint64_t kShortestSign = 50;
constexpr std::uint64_t kSignSpread = 1151;
constexpr duration kStableTime = 3_s;

duration
Milliseconds(std::uint64_t aNumber)
{
  return { static_cast<std::int64_t>(aNumber) };
}

} // namespace

prompt_part_play::prompt_part_play(const part_play_setup& aSetup, std::uint64_t aSeed)
  : mSetup(aSetup)
  , mRandom(aSeed)
  , mTrackers(aSetup.processes)
  , mUpstreams(aSetup.upstreams)
{
  std::vector<router_id> all;
  for (std::size_t i = 0; i < mTrackers.size(); ++i) {
    all.push_back({ std::to_string(i) });
  }
  for (std::size_t i = 0; i < mTrackers.size(); ++i) {
    mTrackers[i].SetProcesses(all[i], all);
  }
}

part_play_result
prompt_part_play::Run()
{
  for (; mNow < time_point{} + mSetup.end; mNow = mNow + kStep) {
    DeliverNews();
    for (std::size_t i = 0; i < mTrackers.size() && mNow.ms % 100 == 0; ++i) {
      Publish(i, mTrackers[i].Settle(mNow));
    }
    KillOthers();
    SilenceOthers();
    ProgressSilences();
    Progress();
    for (const request& repeated : std::exchange(mToRepeat, {})) {
      Arrive(repeated);
    }
    BringRequests();
    NoteVerdicts();
  }
  mResult.crashes = mCrashes.size();
  const bool five = mCrashes.size() > kFifth;
  const time_point last = mCrashes.empty() ? time_point{} : mCrashes.back();
  const time_point counted = five ? mCrashes[kFifth] : last;
  mResult.laterArrivals = static_cast<std::size_t>(
    std::count_if(mHarmfulArrivals.begin(), mHarmfulArrivals.end(), [counted](time_point aAt) {
      return aAt > counted + kStableTime;
    }));
  for (const auto& [at, sent] : mSound) {
    const bool before = at < mSetup.poisonFrom;
    const bool after = at > std::max(counted + kStableTime * 2, mSetup.soundFrom);
    mResult.soundRequestsBefore += before ? 1 : 0;
    mResult.soundSentBefore += before && sent ? 1 : 0;
    mResult.soundRequests += after ? 1 : 0;
    mResult.soundSent += after && sent ? 1 : 0;
  }
  for (const auto& [second, count] : mNewsBySecond) {
    mResult.news += count;
    mResult.mostNewsInASecond = std::max(mResult.mostNewsInASecond, count);
  }
  return mResult;
}

void
prompt_part_play::DeliverNews()
{
  while (!mNews.empty() && mNews.begin()->first <= mNow) {
    news arrived = std::move(mNews.begin()->second);
    mNews.erase(mNews.begin());
    for (auto& crash : arrived.changes.crashes) {
      crash.age = crash.age + (mNow - arrived.told);
    }
    for (auto& quarantine : arrived.changes.quarantines) {
      quarantine.age = quarantine.age + (mNow - arrived.told);
    }
    for (std::size_t i = 0; i < mTrackers.size(); ++i) {
      if (i != arrived.from) {
        Publish(i, mTrackers[i].Apply(arrived.changes, mNow));
      }
    }
  }
}

template<typename Message>
bool
prompt_part_play::IsNew(const Message& aMessage, std::uint64_t aCrash)
{
  return mKnownNews.insert({ aMessage.fingerprint, aCrash, aMessage.Version() }).second;
}

void
prompt_part_play::Publish(std::size_t aFrom, suspicion_changes aChanges)
{
  std::erase_if(aChanges.crashes,
                [this](const auto& aCrash) { return !IsNew(aCrash, aCrash.crash); });
  std::erase_if(aChanges.quarantines,
                [this](const auto& aQuarantine) { return !IsNew(aQuarantine, 0); });
  if (aChanges.Empty()) {
    return;
  }
  mNewsBySecond[mNow.ms / 1000] += aChanges.crashes.size() + aChanges.quarantines.size();
  if (!mSetup.tellsCrashes) {
    aChanges.crashes.clear();
  }
  const auto spread = static_cast<std::uint64_t>((mSetup.longestNews - mSetup.shortestNews).ms) + 1;
  const duration delay = mSetup.newsAlwaysLate
                           ? mSetup.longestNews
                           : mSetup.shortestNews + Milliseconds(mRandom.Below(spread));
  mNews.insert({ mNow + delay, { aFrom, mNow, std::move(aChanges) } });
}

void
prompt_part_play::BringRequests()
{
  mDueRequests += mSetup.requestsPerSecond / kStepsPerSecond;
  for (; mDueRequests >= 1; mDueRequests -= 1) {
    request arrived;
    arrived.number = ++mLastRequest;
    arrived.process = mRandom.Below(mTrackers.size());
    arrived.parts.push_back(kPopularPart);
    if (mRandom.Chance(mSetup.rareShare)) {
      arrived.parts.push_back(kFirstRarePart + mRandom.Below(mSetup.rareParts));
    }
    const bool harms = mNow >= mSetup.poisonFrom;
    if (mRandom.Chance(mSetup.poisonShare) && (harms || mSetup.partsAreSoundBefore)) {
      arrived.parts.push_back(kFirstPoisonPart + mRandom.Below(mSetup.poisonParts));
      arrived.harmful = harms;
    }
    for (std::size_t i = 0; i < mSetup.madeUpParts; ++i) {
      arrived.parts.push_back(mNextMadeUpPart++);
    }
    Arrive(arrived);
  }
}

void
prompt_part_play::Arrive(const request& aRequest)
{
  const bool refused =
    mSetup.refuses &&
    mTrackers[aRequest.process].CheckOrTry({ aRequest.number, aRequest.parts }, mNow).verdict ==
      poison_verdict::quarantined;
  const std::size_t target = refused ? mUpstreams.size() : PickUpstream();
  const bool sent = target < mUpstreams.size();
  if (!aRequest.harmful && !aRequest.repeated) {
    mSound.emplace_back(mNow, sent);
    mResult.soundRefused += refused ? 1 : 0;
  }
  if (sent) {
    Send(aRequest, target);
  }
}

bool
prompt_part_play::InOutage() const
{
  return mSetup.outageFrom <= mNow && mNow < mSetup.outageFrom + mSetup.outageTime;
}

std::size_t
prompt_part_play::PickUpstream()
{
  for (std::size_t tried = 0; tried < mUpstreams.size(); ++tried) {
    mNextUpstream = (mNextUpstream + 1) % mUpstreams.size();
    const upstream& candidate = mUpstreams[mNextUpstream];
    if (candidate.upFrom <= mNow && !candidate.avoided &&
        candidate.calls < mSetup.callsPerUpstream) {
      return mNextUpstream;
    }
  }
  return mUpstreams.size();
}

void
prompt_part_play::Send(const request& aRequest, std::size_t aUpstream)
{
  call sent;
  sent.origin = aRequest;
  sent.attempt = { std::to_string(++mLastAttempt) };
  sent.upstream = aUpstream;
  sent.headAt = mNow + Milliseconds(kShortestWait + mRandom.Below(kWaitSpread));
  sent.nextData = sent.headAt;
  sent.endsUpstream = aRequest.harmful || InOutage();
  sent.end = sent.endsUpstream
               ? sent.headAt + Milliseconds(kShortestRun + mRandom.Below(kRunSpread))
               : sent.headAt + kResponseTime;
  if (sent.endsUpstream && mSetup.crashesBeforeHead) {
    sent.headAt = time_point{ INT64_MAX / 2 };
    sent.nextData = sent.headAt;
    sent.end = mNow + Milliseconds(kShortestWait + mRandom.Below(kWaitSpread));
  }
  upstream& target = mUpstreams[aUpstream];
  ++target.calls;
  mTrackers[aRequest.process].RecordDispatch(
    sent.attempt, LifeOf(aUpstream), { aRequest.number, aRequest.parts }, mNow);
  if (aRequest.harmful) {
    mHarmfulArrivals.push_back(mNow);
  }
  mCalls.push_back(std::move(sent));
}

void
prompt_part_play::Progress()
{
  std::set<std::size_t> crashed;
  for (call& current : mCalls) {
    if (IsSilent(current.upstream) || IsCutOff(current.origin.process)) {
      current.headAt = current.headAt + kStep;
      current.nextData = current.nextData + kStep;
      current.end = current.end + kStep;
      continue;
    }
    ProgressOf(current);
    if (current.endsUpstream && current.end <= mNow) {
      crashed.insert(current.upstream);
    }
  }
  for (const std::size_t upstream : crashed) {
    mCrashes.push_back(mNow);
    if (mSetup.crashesAreSilent) {
      mUpstreams[upstream].crashedSilently = true;
      BeginSilence(upstream, mSetup.restart);
    } else {
      Crash(upstream);
    }
  }
  const auto isOver = [this](const call& aCall) {
    return aCall.end <= mNow && !IsSilent(aCall.upstream) && !IsCutOff(aCall.origin.process);
  };
  for (const call& current : mCalls) {
    if (isOver(current)) {
      --mUpstreams[current.upstream].calls;
      const std::size_t process = current.origin.process;
      Publish(process, mTrackers[process].RecordCompletion(current.attempt, mNow));
    }
  }
  std::erase_if(mCalls, isOver);
}

void
prompt_part_play::ProgressOf(call& aCall)
{
  prompt_part_tracker& tracker = mTrackers[aCall.origin.process];
  if (aCall.headAt <= mNow && (!aCall.hasHead || aCall.nextData <= mNow)) {
    mHeardAt[{ aCall.origin.process, aCall.upstream }] = mNow;
  }
  if (!aCall.hasHead && aCall.headAt <= mNow) {
    aCall.hasHead = true;
    tracker.RecordHead(aCall.attempt, mNow);
  }
  if (aCall.hasHead && aCall.nextData <= mNow) {
    aCall.nextData = mNow + kEventGap;
    Publish(aCall.origin.process, tracker.RecordData(aCall.attempt, mNow));
  }
}

void
prompt_part_play::KillOthers()
{
  if (mSetup.otherDeaths.ms > 0 && mNow.ms % mSetup.otherDeaths.ms == 0) {
    const std::size_t victim = mRandom.Below(mUpstreams.size());
    if (mUpstreams[victim].upFrom <= mNow && !IsSilent(victim)) {
      Crash(victim);
    }
  }
}

upstream_id
prompt_part_play::LifeOf(std::size_t aUpstream) const
{
  return { std::to_string(aUpstream) + "/" + std::to_string(mUpstreams[aUpstream].life) };
}

void
prompt_part_play::SilenceOthers()
{
  if (mSetup.allSilentTime.ms > 0 && mNow == mSetup.allSilentFrom) {
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      BeginSilence(i, mSetup.allSilentTime);
    }
  }
  if (mSetup.cutOffTime.ms > 0 && mNow == mSetup.cutOffFrom) {
    BeginCutOff();
  }
  if (mSetup.soundSilences.ms > 0 && mNow.ms % mSetup.soundSilences.ms == 0) {
    BeginSilence(mRandom.Below(mUpstreams.size()), mSetup.silenceTime);
  }
}

void
prompt_part_play::BeginSilence(std::size_t aUpstream, duration aTime)
{
  upstream& silent = mUpstreams[aUpstream];
  if (silent.upFrom > mNow || IsSilent(aUpstream)) {
    return;
  }
  silent.silentUntil = mNow + aTime;
  for (std::size_t i = 0; i < mTrackers.size(); ++i) {
    const time_point found = mNow + Milliseconds(kShortestFinding + mRandom.Below(kFindingSpread));
    mSilencesToFind.insert({ found, { i, aUpstream, silent.life } });
  }
}

void
prompt_part_play::BeginCutOff()
{
  for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
    const time_point found = mNow + Milliseconds(kShortestFinding + mRandom.Below(kFindingSpread));
    mSilencesToFind.insert({ found, { 0, i, mUpstreams[i].life } });
  }
}

void
prompt_part_play::ProgressSilences()
{
  while (!mSilencesToFind.empty() && mSilencesToFind.begin()->first <= mNow) {
    const finding found = mSilencesToFind.extract(mSilencesToFind.begin()).mapped();
    const bool isSilent = IsSilent(found.upstream) || IsCutOff(found.process);
    if (isSilent && mUpstreams[found.upstream].life == found.life) {
      OnFoundSilent(found);
    }
  }
  while (!mSignsOfLife.empty() && mSignsOfLife.begin()->first <= mNow) {
    const finding heard = mSignsOfLife.extract(mSignsOfLife.begin()).mapped();
    if (mUpstreams[heard.upstream].life == heard.life) {
      Publish(heard.process,
              mTrackers[heard.process].RecordSignOfLife(LifeOf(heard.upstream), mNow));
    }
  }
  for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
    const upstream& silent = mUpstreams[i];
    if (silent.silentUntil.ms > 0 && silent.silentUntil <= mNow) {
      EndSilence(i);
    }
  }
}

void
prompt_part_play::OnFoundSilent(const finding& aFinding)
{
  upstream& silent = mUpstreams[aFinding.upstream];
  silent.avoided = silent.avoided || IsSilent(aFinding.upstream);
  const auto heard = mHeardAt.find({ aFinding.process, aFinding.upstream });
  Publish(
    aFinding.process,
    mTrackers[aFinding.process].RecordSilence(
      LifeOf(aFinding.upstream), heard == mHeardAt.end() ? time_point{} : heard->second, mNow));
  for (call& current : mCalls) {
    const bool stalled =
      current.upstream == aFinding.upstream && current.origin.process == aFinding.process;
    if (stalled && !current.doubled && !current.origin.repeated) {
      current.doubled = true;
      mToRepeat.push_back(current.origin);
      mToRepeat.back().repeated = true;
    }
  }
  if (!silent.crashedSilently) {
    const time_point end =
      std::max(silent.silentUntil,
               IsCutOff(aFinding.process) ? mSetup.cutOffFrom + mSetup.cutOffTime : time_point{});
    const time_point sign = end + Milliseconds(kShortestSign + mRandom.Below(kSignSpread));
    mSignsOfLife.insert({ sign, aFinding });
  }
}

void
prompt_part_play::EndSilence(std::size_t aUpstream)
{
  upstream& ended = mUpstreams[aUpstream];
  ended.silentUntil = {};
  ended.avoided = false;
  if (!std::exchange(ended.crashedSilently, false)) {
    return;
  }
  ++ended.life;
  ended.calls = 0;
  for (const call& lost : mCalls) {
    if (lost.upstream == aUpstream) {
      mTrackers[lost.origin.process].RecordEnd(lost.attempt);
    }
  }
  std::erase_if(mCalls, [aUpstream](const call& aCall) { return aCall.upstream == aUpstream; });
}

void
prompt_part_play::Crash(std::size_t aUpstream)
{
  for (const call& lost : mCalls) {
    if (lost.upstream != aUpstream) {
      continue;
    }
    prompt_part_tracker& tracker = mTrackers[lost.origin.process];
    Publish(lost.origin.process, tracker.RecordLoss(lost.attempt, loss_kind::broken_off, mNow));
    tracker.RecordEnd(lost.attempt);
    if (!lost.origin.repeated) {
      mToRepeat.push_back(lost.origin);
      mToRepeat.back().repeated = true;
    }
  }
  std::erase_if(mCalls, [aUpstream](const call& aCall) { return aCall.upstream == aUpstream; });
  upstream& crashed = mUpstreams[aUpstream];
  ++crashed.life;
  crashed.calls = 0;
  crashed.upFrom = mNow + mSetup.restart;
}

void
prompt_part_play::NoteVerdicts()
{
  if (mNow.ms % 100 != 0) {
    return;
  }
  std::vector<std::uint64_t> sound{ kPopularPart };
  for (std::size_t i = 0; i < mSetup.rareParts; ++i) {
    sound.push_back(kFirstRarePart + i);
  }
  for (std::size_t process = 0; process < mTrackers.size(); ++process) {
    for (const std::uint64_t part : sound) {
      const auto key = std::make_pair(process, part);
      if (mTrackers[process].Check({ part }, mNow).verdict != poison_verdict::quarantined) {
        mWrongSince.erase(key);
        continue;
      }
      const time_point since = mWrongSince.try_emplace(key, mNow).first->second;
      mResult.longestWrongVerdict = std::max(mResult.longestWrongVerdict, mNow - since + 100_ms);
    }
  }
}

} // namespace persimmon::poison
