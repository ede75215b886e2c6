#include "standins/engine/engineinstance.h"

#include <algorithm>

namespace persimmon::standins {
namespace {

constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kResidentModels = 2;
// A pause must not be followed by a burst of all the tokens that it delayed.
constexpr int kTokensPerTick = 8;
constexpr duration kNeverHeard{ 3600000 };

// Causes of a cut as HISTORY.md names them.
constexpr const char* kMemberMissing = "member_missing";
constexpr const char* kMemberChanged = "member_changed";
constexpr const char* kPaused = "paused";
constexpr const char* kCrashed = "crashed";
constexpr const char* kCallerLeft = "caller_left";

std::string
ResidentName(const std::string& aModel, const std::string& aVersion)
{
  return aModel + "@" + aVersion;
}

} // namespace

engine_instance::engine_instance(const engine_options& aOptions, instance_id aInstance)
  : mOptions(aOptions)
  , mInstance(std::move(aInstance))
  , mCache(aOptions.cacheBlocks)
{
}

order_result
engine_instance::Handle(const engine_order& aOrder, time_point aNow)
{
  order_result result;
  if (aOrder.life != mLife) {
    result.refusal = "wrong_incarnation";
    return result;
  }
  if (mOptions.fencing && aOrder.token < mToken) {
    result.refusal = "stale_token";
    return result;
  }
  mToken = aOrder.token;
  switch (aOrder.kind) {
    case order_kind::load:
      Load(aOrder, aNow, result);
      break;
    case order_kind::release:
      Release(result);
      break;
    case order_kind::drain:
      result.changed = mState == engine_state::ready || mState == engine_state::loading;
      mState = mState == engine_state::idle ? engine_state::idle : engine_state::draining;
      break;
    case order_kind::adapter:
      Adapt(aOrder, result);
      break;
  }
  return result;
}

bool
engine_instance::Repeats(const engine_order& aOrder) const
{
  return mState != engine_state::idle && aOrder.group == mGroup && aOrder.version == mVersion &&
         aOrder.model == mModel && aOrder.modelVersion == mModelVersion &&
         aOrder.adapter == mAdapter && aOrder.rank == mRank && aOrder.members == mMembers;
}

void
engine_instance::Load(const engine_order& aOrder, time_point aNow, order_result& aResult)
{
  if (Repeats(aOrder)) {
    return;
  }
  DropAll("reloaded", aResult.outputs);
  mGroup = aOrder.group;
  mVersion = aOrder.version;
  mService = aOrder.service;
  mModel = aOrder.model;
  mAdapter = aOrder.adapter;
  mModelVersion = aOrder.modelVersion;
  mRank = aOrder.rank;
  mMembers = aOrder.members;
  mState = engine_state::loading;
  mFetching = false;
  ++mFetch;
  mLoadedAt = aNow;
  if (!IsResident()) {
    mLoadedAt = aNow + mOptions.loadTime;
    mFetching = mOptions.fetchesWeights;
    mCache.Clear();
  }
  if (mFetching) {
    aResult.fetch = mFetch;
  }
  aResult.changed = true;
}

void
engine_instance::Adapt(const engine_order& aOrder, order_result& aResult)
{
  const bool same = aOrder.version == mVersion && aOrder.adapter == mAdapter &&
                    aOrder.modelVersion == mModelVersion;
  if (mState == engine_state::idle || aOrder.group != mGroup) {
    aResult.refusal = "wrong_group";
    return;
  }
  if (same) {
    return;
  }
  DropAll("adapter_changed", aResult.outputs);
  mVersion = aOrder.version;
  mAdapter = aOrder.adapter;
  mModelVersion = aOrder.modelVersion;
  if (!aOrder.members.empty()) {
    mMembers = aOrder.members;
  }
  mState = mState == engine_state::draining ? engine_state::ready : mState;
  aResult.changed = true;
}

void
engine_instance::Release(order_result& aResult)
{
  aResult.changed = mState != engine_state::idle;
  DropAll("released", aResult.outputs);
  mState = engine_state::idle;
  mGroup = {};
  mVersion = {};
  mService = {};
  mModel.clear();
  mAdapter.clear();
  mModelVersion.clear();
  mRank = 0;
  mMembers.clear();
  mFetching = false;
}

void
engine_instance::WeightsFetched(std::uint64_t aFetch)
{
  if (aFetch == mFetch) {
    mFetching = false;
  }
}

bool
engine_instance::IsResident() const
{
  const std::string name = ResidentName(mModel, mModelVersion);
  return std::find(mResident.begin(), mResident.end(), name) != mResident.end();
}

void
engine_instance::MakeResident()
{
  if (IsResident()) {
    return;
  }
  mResident.push_back(ResidentName(mModel, mModelVersion));
  if (mResident.size() > kResidentModels) {
    mResident.pop_front();
  }
}

void
engine_instance::FinishLoad(time_point aNow)
{
  if (mState != engine_state::loading || mFetching || aNow < mLoadedAt) {
    return;
  }
  MakeResident();
  mState = engine_state::ready;
}

group_presence
engine_instance::Presence(time_point aNow, const member_board& aBoard) const
{
  group_presence worst = group_presence::whole;
  for (const order_member& member : mMembers) {
    worst = std::max(worst, PresenceOf(member, aNow, aBoard));
  }
  return worst;
}

group_presence
engine_instance::PresenceOf(const order_member& aMember,
                            time_point aNow,
                            const member_board& aBoard) const
{
  if (aMember.instance == mInstance) {
    return aMember.life == mLife ? group_presence::whole : group_presence::lost;
  }
  const auto report = aBoard.Find(aMember.address);
  if (!report || report->instance != aMember.instance || report->life != aMember.life ||
      aNow - report->heardAt > mOptions.memberTimeout) {
    return group_presence::lost;
  }
  const bool ready =
    report->state == engine_state::ready || report->state == engine_state::draining;
  if (!ready || report->group != mGroup || report->version != mVersion) {
    return group_presence::changed;
  }
  return report->working ? group_presence::whole : group_presence::stalled;
}

std::optional<engine_refusal>
engine_instance::Admission(const engine_request& aRequest,
                           time_point aNow,
                           const member_board& aBoard) const
{
  if (mState == engine_state::idle || aRequest.group != mGroup || mRank != 0) {
    return engine_refusal{ kConflict, "wrong_group" };
  }
  if (aRequest.version != mVersion) {
    return engine_refusal{ kConflict, "wrong_generation" };
  }
  if (mState != engine_state::ready) {
    return engine_refusal{ kServiceUnavailable, StateName(mState) };
  }
  const group_presence presence = Presence(aNow, aBoard);
  if (presence == group_presence::lost || presence == group_presence::changed) {
    return engine_refusal{ kServiceUnavailable, kMemberMissing };
  }
  if (mQueue.size() >= mOptions.maxQueued) {
    return engine_refusal{ kTooManyRequests, "full" };
  }
  return std::nullopt;
}

std::optional<engine_refusal>
engine_instance::Submit(engine_request aRequest, time_point aNow, const member_board& aBoard)
{
  auto refusal = Admission(aRequest, aNow, aBoard);
  if (refusal) {
    return refusal;
  }
  aRequest.life = mLife;
  aRequest.service = mService;
  aRequest.modelVersion = mModelVersion;
  const std::uint32_t priority = aRequest.priority;
  mQueue.emplace(priority, std::make_shared<const engine_request>(std::move(aRequest)));
  return std::nullopt;
}

std::optional<engine_output>
engine_instance::Cancel(std::uint64_t aNumber)
{
  const auto queued = std::find_if(mQueue.begin(), mQueue.end(), [&](const auto& aEntry) {
    return aEntry.second->number == aNumber;
  });
  if (queued != mQueue.end()) {
    mQueue.erase(queued);
    return std::nullopt;
  }
  const auto running = std::find_if(mRunning.begin(), mRunning.end(), [&](const auto& aEntry) {
    return aEntry.request->number == aNumber;
  });
  if (running == mRunning.end()) {
    return std::nullopt;
  }
  engine_output output{ engine_output::kind::cut, running->request, kCallerLeft };
  mRunning.erase(running);
  return output;
}

std::vector<engine_output>
engine_instance::Tick(time_point aNow, const member_board& aBoard)
{
  std::vector<engine_output> outputs;
  if (mDead) {
    return outputs;
  }
  FinishLoad(aNow);
  const group_presence presence = Presence(aNow, aBoard);
  if (presence == group_presence::lost) {
    DropAll(kMemberMissing, outputs);
  } else if (presence == group_presence::changed) {
    DropAll(kMemberChanged, outputs);
  } else if (presence == group_presence::whole) {
    Start(aNow, outputs);
    std::erase_if(mRunning,
                  [&](running_request& aRunning) { return Advance(aRunning, aNow, outputs); });
  }
  TakeLoadReport(aNow);
  return outputs;
}

void
engine_instance::Start(time_point aNow, std::vector<engine_output>& aOutputs)
{
  while (!mDead && mRunning.size() < mOptions.maxRunning && !mQueue.empty()) {
    if (!StartOne(aNow, aOutputs)) {
      std::vector<engine_output> lost = Die(kCrashed);
      std::move(lost.begin(), lost.end(), std::back_inserter(aOutputs));
    }
  }
}

bool
engine_instance::StartOne(time_point aNow, std::vector<engine_output>& aOutputs)
{
  const shared_request request = mQueue.begin()->second;
  mQueue.erase(mQueue.begin());
  const auto computed = static_cast<std::int64_t>(mCache.Use(request->prompt));
  const duration firstToken = TokenInterval() + mOptions.blockTime * computed * mStraggle;
  mRunning.push_back(
    { request, answer_tokens(request->body), request->resumeTokens, aNow + firstToken });
  aOutputs.push_back({ engine_output::kind::started, request, "" });
  return mCrashMarker.empty() || request->body.find(mCrashMarker) == std::string::npos;
}

bool
engine_instance::Advance(running_request& aRunning,
                         time_point aNow,
                         std::vector<engine_output>& aOutputs)
{
  const std::size_t last = aRunning.request->maxTokens;
  // Routers count events to resume a stream, so that each token is an event of its own.
  for (int i = 0; i < kTokensPerTick && aRunning.nextAt <= aNow && aRunning.emitted < last; ++i) {
    aOutputs.push_back(
      { engine_output::kind::tokens, aRunning.request, aRunning.tokens.Token(aRunning.emitted++) });
    aRunning.nextAt = aRunning.nextAt + TokenInterval();
  }
  if (aRunning.nextAt <= aNow) {
    aRunning.nextAt = aNow + TokenInterval();
  }
  if (aRunning.emitted < last) {
    return false;
  }
  aOutputs.push_back(
    { engine_output::kind::completed, aRunning.request, aRunning.tokens.Text(last) });
  return true;
}

void
engine_instance::DropAll(const std::string& aCause, std::vector<engine_output>& aOutputs)
{
  for (const running_request& running : mRunning) {
    aOutputs.push_back({ engine_output::kind::cut, running.request, aCause });
  }
  for (const auto& [priority, request] : mQueue) {
    aOutputs.push_back(
      { engine_output::kind::refused, request, "", { kServiceUnavailable, aCause } });
  }
  mRunning.clear();
  mQueue.clear();
}

std::vector<engine_output>
engine_instance::Die(const std::string& aCause)
{
  std::vector<engine_output> outputs;
  DropAll(aCause, outputs);
  mDead = true;
  return outputs;
}

std::vector<engine_output>
engine_instance::Wake(duration aPause)
{
  std::vector<engine_output> outputs;
  if (aPause > mOptions.memberTimeout && mMembers.size() > 1) {
    DropAll(kPaused, outputs);
  }
  return outputs;
}

void
engine_instance::Return()
{
  order_result ignored;
  Release(ignored);
  mLife = mLife.Next();
  mDead = false;
  mToken = {};
  mResident.clear();
  mCache.Clear();
  mLoad = {};
}

void
engine_instance::TakeLoadReport(time_point aNow)
{
  if (aNow - mLoad.takenAt >= mOptions.reportInterval) {
    mLoad = { mRunning.size(), mQueue.size(), aNow };
  }
}

member_status
engine_instance::StatusOfMember(const order_member& aMember,
                                time_point aNow,
                                const member_board& aBoard) const
{
  if (aMember.instance == mInstance) {
    return { mInstance, mLife, {}, mVersion, mState };
  }
  const auto report = aBoard.Find(aMember.address);
  if (!report) {
    return { aMember.instance, {}, kNeverHeard, {}, engine_state::idle };
  }
  return { report->instance, report->life, aNow - report->heardAt, report->version, report->state };
}

engine_status
engine_instance::Status(time_point aNow, const member_board& aBoard) const
{
  engine_status status;
  status.instance = mInstance;
  status.life = mLife;
  status.state = mState;
  status.token = mToken;
  status.fencing = mOptions.fencing;
  status.group = mGroup;
  status.version = mVersion;
  status.service = mService;
  status.model = mModel;
  status.adapter = mAdapter;
  status.modelVersion = mModelVersion;
  status.rank = mRank;
  status.size = mMembers.size();
  status.resident.assign(mResident.begin(), mResident.end());
  status.inFlight = mRunning.size() + mQueue.size();
  status.load = mLoad;
  status.loadAge = aNow - mLoad.takenAt;
  if (mRank == 0) {
    for (const order_member& member : mMembers) {
      status.members.push_back(StatusOfMember(member, aNow, aBoard));
    }
  }
  return status;
}

member_report
engine_instance::Report(time_point aNow) const
{
  return { mInstance, mLife, mGroup, mVersion, mState, aNow, true };
}

} // namespace persimmon::standins
