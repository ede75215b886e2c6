#include "dispatch/upstreamboard.h"

#include "dispatch/loadspread.h"

#include <algorithm>
#include <cmath>

namespace persimmon::dispatch {
namespace {

/// A report of load counts for this long; afterwards only the own calls do.
constexpr duration kReportLifetime = 3_s;
/// How old a report is on average when an upstream makes it.
constexpr duration kReportLag = 200_ms;
/// A failure's weight halves in this time, so that an upstream that recovers is tried again.
constexpr duration kFailureHalfLife = 2_s;
/// Weight of the newest outcome in the failure rate.
constexpr double kFailureWeight = 0.3;
/// Failure rate above which an upstream is only taken when nothing better is there.
constexpr double kFailureLimit = 0.25;
/// Cost that stands for an upstream beyond the limit, in units of its own cost.
constexpr double kFailurePenalty = 8;
constexpr double kPaceWeight = 0.15;
/// An upstream slower than expected by this factor counts as slow.
constexpr double kSlowFactor = 1.5;
/// What is known of a pace counts for this long; then the upstream is tried again.
constexpr duration kToldPaceLifetime = 3_s;
/// Cost of another availability zone, as a part of a call.
constexpr double kOtherZoneCost = 0.15;
/// Costs that differ by less count as equal, so that routers with like views do not choose alike.
constexpr double kTieMs = 12;
constexpr double kTieCalls = 0.3;

bool
IsExcluded(const choice_request& aRequest, const instance_id& aId)
{
  return std::find(aRequest.excluded.begin(), aRequest.excluded.end(), aId) !=
         aRequest.excluded.end();
}

struct scored_upstream
{
  const instance_id* id = nullptr;
  double cost = 0;
};

/// Returns one of the cheapest, drawn among those whose costs differ by less than aTie.
std::optional<instance_id>
DrawCheapest(const std::vector<scored_upstream>& aScored, double aTie, std::uint64_t aDraw)
{
  if (aScored.empty()) {
    return std::nullopt;
  }
  double lowest = aScored.front().cost;
  for (const scored_upstream& one : aScored) {
    lowest = std::min(lowest, one.cost);
  }
  std::vector<const instance_id*> equals;
  for (const scored_upstream& one : aScored) {
    if (one.cost <= lowest + aTie) {
      equals.push_back(one.id);
    }
  }
  return *equals[aDraw % equals.size()];
}

} // namespace

upstream_board::upstream_board(zone_name aZone)
  : mZone(std::move(aZone))
{
}

void
upstream_board::SetRoutes(std::shared_ptr<const routes::route_table> aRoutes)
{
  mRoutes = std::move(aRoutes);
  FleetChanged();
}

void
upstream_board::FleetChanged()
{
  mGroups.clear();
  mGroupByHead.clear();
  if (!mRoutes) {
    return;
  }
  for (const routes::service_profile& service : mRoutes->Source().services) {
    for (fleet::engine_group& group : mFleet.Groups(service)) {
      mGroupByHead[group.Head()] = mGroups.size();
      mGroups.push_back(std::move(group));
    }
  }
  std::erase_if(
    mBroken, [this](const auto& aMark) { return FindGroup(aMark.first, aMark.second) == nullptr; });
  std::erase_if(mRecords, [this](const auto& aEntry) {
    return aEntry.second.inFlight == 0 && mFleet.Find(aEntry.first) == nullptr;
  });
}

upstream_record&
upstream_board::Touch(const instance_id& aUpstream)
{
  upstream_record& record = mRecords[aUpstream];
  const fleet::instance* known = mFleet.Find(aUpstream);
  if (known != nullptr && known->life > record.life) {
    const std::uint64_t inFlight = record.inFlight;
    const std::uint64_t pending = record.pendingTokens;
    record = {};
    record.life = known->life;
    // Calls of the old life end one by one.
    record.inFlight = inFlight;
    record.pendingTokens = pending;
  }
  return record;
}

const upstream_record*
upstream_board::Record(const instance_id& aUpstream) const
{
  const auto found = mRecords.find(aUpstream);
  return found == mRecords.end() ? nullptr : &found->second;
}

const fleet::engine_group*
upstream_board::GroupOfHead(const instance_id& aHead) const
{
  const auto found = mGroupByHead.find(aHead);
  return found == mGroupByHead.end() ? nullptr : &mGroups[found->second];
}

const fleet::engine_group*
upstream_board::FindGroup(const group_id& aGroup, generation aEpoch) const
{
  for (const fleet::engine_group& group : mGroups) {
    if (group.id == aGroup && group.epoch == aEpoch) {
      return &group;
    }
  }
  return nullptr;
}

double
upstream_board::EstimatedCalls(const instance_id& aUpstream, time_point aNow) const
{
  const upstream_record* record = Record(aUpstream);
  if (record == nullptr) {
    return 0;
  }
  const auto own = static_cast<double>(record->inFlight);
  if (aNow - record->reportedAt > kReportLifetime) {
    return own;
  }
  const double reported = static_cast<double>(record->reported.running + record->reported.waiting) +
                          static_cast<double>(record->startedSinceReport);
  return std::max(own, reported);
}

double
upstream_board::FailureRate(const instance_id& aUpstream, time_point aNow) const
{
  const upstream_record* record = Record(aUpstream);
  if (record == nullptr || record->failureRate <= 0) {
    return 0;
  }
  const double halves =
    static_cast<double>((aNow - record->failureAt).ms) / static_cast<double>(kFailureHalfLife.ms);
  return record->failureRate * std::exp2(-std::max(halves, 0.0));
}

bool
upstream_board::MayTake(const fleet::instance& aUpstream, time_point aNow) const
{
  const upstream_record* record = Record(aUpstream.id);
  return !aUpstream.draining && (record == nullptr || record->avoidedUntil <= aNow);
}

bool
upstream_board::MayTake(const fleet::engine_group& aGroup, time_point aNow) const
{
  if (!aGroup.Serves() || IsBroken(aGroup.id, aGroup.epoch)) {
    return false;
  }
  const fleet::instance* head = mFleet.Find(aGroup.Head());
  return head != nullptr && MayTake(*head, aNow);
}

double
upstream_board::WaitMs(const fleet::engine_group& aGroup,
                       const model_engine& aEngine,
                       time_point aNow) const
{
  const routes::engine_profile& engine = aEngine.profile;
  const double calls = EstimatedCalls(aGroup.Head(), aNow);
  const double stepMs = engine.stepMs + engine.stepPerRequestMs * aEngine.slots;
  const double holdMs = engine.usualOutput * stepMs * aEngine.pace;
  return std::max(0.0, calls + 1 - aEngine.slots) * holdMs / aEngine.slots;
}

double
upstream_board::Slowness(const fleet::engine_group& aGroup,
                         double aExpectedGapMs,
                         time_point aNow) const
{
  const upstream_record* record = Record(aGroup.Head());
  if (record == nullptr) {
    return 1;
  }
  const bool told = aNow - record->toldPaceAt < kToldPaceLifetime;
  double slowness = told ? std::max(record->toldPace, 1.0) : 1;
  const bool seen = aNow - record->heardAt < kToldPaceLifetime;
  if (seen && record->paceMs > kSlowFactor * aExpectedGapMs + kTieMs) {
    slowness = std::max(slowness, record->paceMs / std::max(aExpectedGapMs, 1.0));
  }
  return slowness;
}

double
upstream_board::GroupCostMs(const fleet::engine_group& aGroup,
                            const model_engine& aEngine,
                            std::uint64_t aPromptTokens,
                            time_point aNow) const
{
  const routes::engine_profile& engine = aEngine.profile;
  const double calls = EstimatedCalls(aGroup.Head(), aNow);
  const upstream_record* record = Record(aGroup.Head());
  const double pending = record == nullptr ? 0 : static_cast<double>(record->pendingTokens);
  const double tokens = pending + static_cast<double>(aPromptTokens);
  const double readMs = tokens * 1000 / std::max(engine.readPerSecond, 1.0);
  const double stepMs = engine.stepMs + engine.stepPerRequestMs * calls;
  // Each pass reads one chunk and then writes for the requests that run.
  const double passes =
    std::ceil(tokens / static_cast<double>(std::max<std::uint64_t>(engine.chunkTokens, 1)));
  const double writeMs =
    stepMs * static_cast<double>(engine.stride) * (passes + calls / aEngine.slots);
  double cost = (readMs + writeMs) * aEngine.pace + WaitMs(aGroup, aEngine, aNow);
  const double expectedGap = stepMs * static_cast<double>(engine.stride) * aEngine.pace;
  cost *= Slowness(aGroup, expectedGap, aNow);
  if (FailureRate(aGroup.Head(), aNow) > kFailureLimit) {
    cost *= kFailurePenalty;
  }
  return cost;
}

double
upstream_board::SlopeMs(const model_engine& aEngine)
{
  const routes::engine_profile& engine = aEngine.profile;
  const double stepMs = 2 * engine.stepPerRequestMs + engine.stepMs / aEngine.slots;
  return stepMs * static_cast<double>(engine.stride) * aEngine.pace;
}

double
upstream_board::UnseenCalls(const choice_request& aRequest,
                            const std::vector<const fleet::engine_group*>& aGroups,
                            time_point aNow) const
{
  const auto rate = mRates.find({ aRequest.service, aRequest.model });
  if (rate == mRates.end()) {
    return 0;
  }
  double ages = 0;
  for (const fleet::engine_group* group : aGroups) {
    const upstream_record* record = Record(group->Head());
    const duration age = record == nullptr ? kReportLifetime : aNow - record->reportedAt;
    ages += static_cast<double>(std::min(age, kReportLifetime).ms) / 1000;
  }
  const double unseen =
    ages / static_cast<double>(aGroups.size()) + static_cast<double>(kReportLag.ms) / 1000;
  return rate->second.PerSecond(aNow) * static_cast<double>(mRouters - 1) * unseen;
}

std::optional<instance_id>
upstream_board::ChooseGroup(const choice_request& aRequest,
                            const model_engine& aEngine,
                            time_point aNow) const
{
  std::vector<const fleet::engine_group*> groups;
  std::vector<double> costs;
  for (const fleet::engine_group& group : mGroups) {
    const bool fits = group.service == aRequest.service && group.model == aRequest.model;
    if (!fits || !MayTake(group, aNow) || IsExcluded(aRequest, group.Head())) {
      continue;
    }
    if (aRequest.longestWait &&
        WaitMs(group, aEngine, aNow) > static_cast<double>(aRequest.longestWait->ms)) {
      continue;
    }
    if (aRequest.isolated && EstimatedCalls(group.Head(), aNow) > 0) {
      continue;
    }
    groups.push_back(&group);
    costs.push_back(GroupCostMs(group, aEngine, aRequest.promptTokens, aNow));
  }
  if (groups.empty()) {
    return std::nullopt;
  }
  const double unseenMs = SlopeMs(aEngine) * UnseenCalls(aRequest, groups, aNow);
  return groups[DrawSpread(costs, std::max(unseenMs, kTieMs), aRequest.draw)]->Head();
}

double
upstream_board::PlainCost(const fleet::instance& aUpstream, time_point aNow) const
{
  const auto slots = static_cast<double>(std::max<std::size_t>(aUpstream.slots, 1));
  double cost = (EstimatedCalls(aUpstream.id, aNow) + 1) / slots * 2;
  const upstream_record* record = Record(aUpstream.id);
  if (record != nullptr && record->paceMs > 0) {
    cost *= std::max(record->paceMs, 1.0) / 50;
  }
  if (FailureRate(aUpstream.id, aNow) > kFailureLimit) {
    cost = (cost + 1) * kFailurePenalty;
  }
  return cost + (aUpstream.zone == mZone ? 0 : kOtherZoneCost);
}

std::optional<instance_id>
upstream_board::ChoosePlain(const choice_request& aRequest, time_point aNow) const
{
  std::vector<scored_upstream> scored;
  for (const fleet::instance* one : mFleet.OfService(aRequest.service)) {
    if (MayTake(*one, aNow) && !IsExcluded(aRequest, one->id)) {
      scored.push_back({ &one->id, PlainCost(*one, aNow) });
    }
  }
  return DrawCheapest(scored, kTieCalls, aRequest.draw);
}

std::optional<instance_id>
upstream_board::Choose(const choice_request& aRequest, time_point aNow) const
{
  const routes::service_profile* service =
    mRoutes ? mRoutes->FindService(aRequest.service) : nullptr;
  if (service == nullptr) {
    return std::nullopt;
  }
  if (!service->engine) {
    return ChoosePlain(aRequest, aNow);
  }
  const routes::engine_profile& profile = *service->engine;
  const routes::model_profile* model = profile.Find(aRequest.model);
  const auto slots = static_cast<double>(std::max<std::size_t>(profile.slots, 1));
  return ChooseGroup(aRequest, { profile, model == nullptr ? 1 : model->pace, slots }, aNow);
}

bool
upstream_board::Serves(const service_name& aService,
                       const routes::model_name& aModel,
                       time_point aNow) const
{
  choice_request any;
  any.service = aService;
  any.model = aModel;
  return Choose(any, aNow).has_value();
}

std::vector<fleet::engine_group>
upstream_board::ServingGroups(time_point aNow) const
{
  std::vector<fleet::engine_group> serving;
  for (const fleet::engine_group& group : mGroups) {
    if (MayTake(group, aNow)) {
      serving.push_back(group);
    }
  }
  return serving;
}

void
upstream_board::NoteCall(const service_name& aService,
                         const routes::model_name& aModel,
                         time_point aNow)
{
  mRates[{ aService, aModel }].Note(aNow);
}

void
upstream_board::Started(const instance_id& aUpstream, std::uint64_t aPromptTokens)
{
  upstream_record& record = Touch(aUpstream);
  ++record.inFlight;
  ++record.startedSinceReport;
  record.pendingTokens += aPromptTokens;
}

void
upstream_board::Answered(const instance_id& aUpstream, std::uint64_t aPromptTokens, time_point aNow)
{
  upstream_record& record = Touch(aUpstream);
  record.pendingTokens -= std::min(aPromptTokens, record.pendingTokens);
  record.heardAt = aNow;
}

void
upstream_board::Heard(const instance_id& aUpstream, time_point aNow)
{
  Touch(aUpstream).heardAt = aNow;
}

void
upstream_board::NotePace(const instance_id& aUpstream, duration aSpan)
{
  upstream_record& record = Touch(aUpstream);
  const auto span = static_cast<double>(aSpan.ms);
  record.paceMs = record.paceMs == 0 ? span : record.paceMs + kPaceWeight * (span - record.paceMs);
}

void
upstream_board::NoteToldPace(const instance_id& aUpstream, double aFactor, time_point aNow)
{
  upstream_record& record = Touch(aUpstream);
  record.toldPace = aFactor;
  record.toldPaceAt = aNow;
}

void
upstream_board::Ended(const instance_id& aUpstream, std::uint64_t aPendingTokens)
{
  upstream_record& record = Touch(aUpstream);
  record.inFlight -= std::min<std::uint64_t>(record.inFlight, 1);
  record.pendingTokens -= std::min(aPendingTokens, record.pendingTokens);
}

void
upstream_board::NoteOutcome(const instance_id& aUpstream, bool aGood, time_point aNow)
{
  upstream_record& record = Touch(aUpstream);
  const double before = FailureRate(aUpstream, aNow);
  record.failureRate = before + kFailureWeight * ((aGood ? 0.0 : 1.0) - before);
  record.failureAt = aNow;
}

void
upstream_board::NoteLoad(const instance_id& aUpstream, const upstream_load& aLoad, time_point aNow)
{
  upstream_record& record = Touch(aUpstream);
  record.reported = aLoad;
  record.reportedAt = aNow;
  record.startedSinceReport = 0;
}

void
upstream_board::Avoid(const instance_id& aUpstream, time_point aUntil)
{
  upstream_record& record = Touch(aUpstream);
  record.avoidedUntil = std::max(record.avoidedUntil, aUntil);
}

void
upstream_board::MarkBroken(const group_id& aGroup, generation aEpoch)
{
  mBroken.emplace(aGroup, aEpoch);
}

void
upstream_board::ClearBroken(const group_id& aGroup, generation aEpoch)
{
  mBroken.erase({ aGroup, aEpoch });
}

bool
upstream_board::IsBroken(const group_id& aGroup, generation aEpoch) const
{
  return mBroken.count({ aGroup, aEpoch }) != 0;
}

} // namespace persimmon::dispatch
