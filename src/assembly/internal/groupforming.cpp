#include "assembly/assembler.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace persimmon::assembly {
namespace {

/// An instance that answered within this time counts as present.
constexpr duration kFreshAnswer = 2_s;
/// Epochs of one token; a later leader's are higher than all of a former one's.
constexpr std::uint64_t kEpochsPerToken = 100000;
/// Longest time that a staging counts, as a multiple of its expected time.
constexpr std::int64_t kStagingFactor = 4;
/// Weight of a member that a domain lacks for a whole group, against the supply of its model.
constexpr double kMissingWeight = 0.15;
/// An instance this much slower than expected is taken last.
constexpr double kSlowPace = 1.5;

/// Worth of a first spare against that of a whole group: it saves a load when a member is lost.
/// Each further spare is worth as much less.
constexpr double kSpareWorth = 0.5;

/// Shortest time between two notes of idle instances.
constexpr duration kIdleNotePause = 1_s;

using free_list = std::vector<const fleet::instance*>;

std::map<domain_name, free_list>
ByDomain(const free_list& aFree)
{
  std::map<domain_name, free_list> domains;
  for (const fleet::instance* one : aFree) {
    domains[one->domain].push_back(one);
  }
  return domains;
}

/// Returns for each of aCold instances, in the order in which they load, what part of a group its
/// load gains, when aOver instances beyond whole groups hold weights already.
std::vector<double>
PartsOfGroup(std::size_t aCold, std::size_t aOver, std::size_t aSize)
{
  std::vector<double> parts;
  std::size_t spares = aOver;
  std::size_t missing = aSize - aOver;
  while (aCold - parts.size() >= missing) {
    parts.insert(parts.end(), missing, 1 / static_cast<double>(missing));
    spares = 0;
    missing = aSize;
  }
  while (parts.size() < aCold) {
    parts.push_back(std::pow(kSpareWorth, static_cast<double>(++spares)));
  }
  return parts;
}

} // namespace

std::vector<const fleet::instance*>
assembler::FreeInstances(const fleet::fleet_view& aFleet, time_point aNow) const
{
  free_list free;
  for (const fleet::instance* one : aFleet.OfService(mService.name)) {
    const auto found = mHosts.find(one->id);
    if (found == mHosts.end() || one->draining || IsBound(*one, aFleet)) {
      continue;
    }
    const host_record& host = found->second;
    const bool present = host.misses == 0 && host.answeredAt > mLeadsSince &&
                         aNow - host.answeredAt < kFreshAnswer && host.life == one->life;
    if (present && FormationOf(one->id) == nullptr && host.heldUntil <= aNow) {
      free.push_back(one);
    }
  }
  return free;
}

bool
assembler::IsBound(const fleet::instance& aInstance, const fleet::fleet_view& aFleet) const
{
  const auto member = MembershipOf(aInstance.id, aFleet);
  return member && mEnded.count({ member->group, member->epoch }) == 0;
}

bool
assembler::Holds(const fleet::instance& aInstance, const routes::model_name& aModel) const
{
  const auto found = mHosts.find(aInstance.id);
  const bool last = found != mHosts.end() && found->second.lastModel == aModel;
  const auto& staged = aInstance.staged;
  return last || std::find(staged.begin(), staged.end(), aModel) != staged.end();
}

double
assembler::WantedPart(const routes::model_name& aModel) const
{
  const routes::engine_profile& engine = *mService.engine;
  double total = 0;
  double own = 0;
  for (const routes::model_profile& model : engine.models) {
    const auto found = mDemand.find(model.name);
    const double wanted = found == mDemand.end() ? model.initialDemandShare : found->second;
    total += wanted;
    own += model.name == aModel ? wanted : 0;
  }
  return total > 0 ? own / total : 1;
}

double
assembler::Supply(const routes::model_name& aModel) const
{
  double supply = 0;
  for (const formation& one : mFormations) {
    if (one.model == aModel && one.at != formation::stage::releasing) {
      supply += static_cast<double>(one.members.size());
    }
  }
  for (const auto& [id, host] : mHosts) {
    supply += host.staging == aModel ? 1 : 0;
  }
  return supply / std::max(WantedPart(aModel), 1e-6);
}

std::size_t
assembler::RunningLoads(time_point aNow) const
{
  std::size_t running = 0;
  for (const formation& one : mFormations) {
    for (const formation_member& member : one.members) {
      running += member.loads && !member.wasReady ? 1 : 0;
    }
  }
  for (const auto& [id, host] : mHosts) {
    running += !host.staging.Empty() && host.stagingUntil > aNow ? 1 : 0;
  }
  return running;
}

double
assembler::LoadTokens(std::size_t aCount, time_point aNow) const
{
  const double elapsed = static_cast<double>((aNow - mLoadTokensAt).ms) / 1000;
  const double capacity = std::max(mOptions.loadBurst, static_cast<double>(aCount));
  return std::min(capacity, mLoadTokens + std::max(elapsed, 0.0) * mService.engine->loadsPerSecond);
}

bool
assembler::MayLoad(std::size_t aCount, time_point aNow) const
{
  // Before callers come, loads are bounded by nothing.
  if (mDemand.empty()) {
    return true;
  }
  return LoadTokens(aCount, aNow) >= static_cast<double>(aCount) &&
         RunningLoads(aNow) < mService.engine->concurrentLoads;
}

void
assembler::CountLoads(std::size_t aCount, time_point aNow)
{
  mLoadTokens = LoadTokens(aCount, aNow) - static_cast<double>(aCount);
  mLoadTokensAt = aNow;
}

void
assembler::Form(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions)
{
  for (auto& [id, host] : mHosts) {
    const fleet::instance* one = aFleet.Find(id);
    const bool over = host.stagingUntil <= aNow;
    if (!host.staging.Empty() && (over || (one != nullptr && Holds(*one, host.staging)))) {
      host.staging = {};
    }
  }
  free_list free = FreeInstances(aFleet, aNow);
  while (FormWarm(free, aNow, aActions)) {
    free = FreeInstances(aFleet, aNow);
  }
  if (Settled(aNow)) {
    DivideDomains(aFleet, aNow);
    // Once callers come, weights are staged where they complete groups soonest, and groups form of
    // instances that hold them.
    while (mDemand.empty() && FormCold(free, aNow, aActions)) {
      free = FreeInstances(aFleet, aNow);
    }
    StageIdle(free, aNow, aActions);
  }
  NoteIdle(free, aNow, aActions);
}

bool
assembler::Settled(time_point aNow) const
{
  const duration longest = mDemand.empty() ? mOptions.longestSettleAtStart : mOptions.longestSettle;
  return aNow - mLastNewHost >= mOptions.settleTime || aNow - mLeadsSince >= longest;
}

void
assembler::NoteIdle(const free_list& aFree, time_point aNow, actions& aActions)
{
  if (aNow - mIdleNotedAt < kIdleNotePause) {
    return;
  }
  mIdleNotedAt = aNow;
  std::string text;
  for (const auto& [domain, free] : ByDomain(aFree)) {
    text += text.empty() ? "" : " ";
    text += domain.value + ":";
    for (const fleet::instance* one : free) {
      const host_record& host = mHosts.at(one->id);
      text += one->staged.empty() ? "none" : one->staged.back().value;
      text += host.staging.Empty() ? "" : ">" + host.staging.value;
      text += one == free.back() ? "" : ",";
    }
  }
  if (text != mIdleNoted) {
    mIdleNoted = text;
    aActions.push_back(note_idle{ aFree.size(), text });
  }
}

bool
assembler::FormWarm(const free_list& aFree, time_point aNow, actions& aActions)
{
  const routes::model_profile* chosen = nullptr;
  free_list members;
  double lowest = 0;
  for (const auto& [domain, free] : ByDomain(aFree)) {
    for (const routes::model_profile& model : mService.engine->models) {
      free_list warm;
      for (const fleet::instance* one : free) {
        if (Holds(*one, model.name)) {
          warm.push_back(one);
        }
      }
      const double supply = Supply(model.name);
      if (warm.size() >= model.groupSize && (chosen == nullptr || supply < lowest)) {
        chosen = &model;
        lowest = supply;
        members = std::move(warm);
      }
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  // Those whose last group had the model join soonest; slow ones would slow the whole group.
  std::stable_sort(members.begin(), members.end(), [&](const auto* aLeft, const auto* aRight) {
    const auto cost = [&](const fleet::instance* aOne) {
      const host_record& host = mHosts.at(aOne->id);
      const bool slow = host.report && host.report->pace > kSlowPace;
      return (slow ? 2 : 0) + (host.lastModel == chosen->name ? 0 : 1);
    };
    return cost(aLeft) < cost(aRight);
  });
  members.resize(chosen->groupSize);
  StartFormation(*chosen, members, aNow, aActions);
  return true;
}

routes::model_name
assembler::Loading(const instance_id& aInstance) const
{
  const host_record& host = mHosts.at(aInstance);
  const formation* its = host.staging.Empty() ? FormationOf(aInstance) : nullptr;
  return its == nullptr ? host.staging : its->model;
}

void
assembler::DivideDomains(const fleet::fleet_view& aFleet, time_point aNow)
{
  if (mDividedAt >= mLastNewHost) {
    return;
  }
  mDividedAt = aNow;
  std::vector<domain_holdings> domains;
  for (const auto& [domain, instances] : ByDomain(aFleet.OfService(mService.name))) {
    domain_holdings holdings{ domain, instances.size(), {} };
    for (const fleet::instance* one : instances) {
      const routes::model_name loading = Loading(one->id);
      for (const routes::model_profile& model : mService.engine->models) {
        holdings.held[model.name] += loading == model.name || Holds(*one, model.name) ? 1 : 0;
      }
    }
    domains.push_back(std::move(holdings));
  }
  std::map<routes::model_name, double> wanted;
  for (const routes::model_profile& model : mService.engine->models) {
    wanted[model.name] = WantedPart(model.name);
  }
  mHomes.Divide(domains, mService.engine->models, wanted);
}

const routes::model_profile*
assembler::HomeOf(const domain_name& aDomain) const
{
  if (!mHomes.Serves(mService.engine->models)) {
    return nullptr;
  }
  const routes::model_name* home = mHomes.Of(aDomain);
  return home == nullptr ? nullptr : mService.engine->FindModel(*home);
}

bool
assembler::FormCold(const free_list& aFree, time_point aNow, actions& aActions)
{
  const routes::model_profile* chosen = nullptr;
  free_list members;
  double lowest = 0;
  for (const auto& [domain, free] : ByDomain(aFree)) {
    const free_list cold = Cold(free);
    const routes::model_profile* home = HomeOf(domain);
    for (const routes::model_profile& model : mService.engine->models) {
      if (cold.size() < model.groupSize || (home != nullptr && home != &model)) {
        continue;
      }
      const double supply = Supply(model.name);
      if (chosen == nullptr || supply < lowest) {
        chosen = &model;
        lowest = supply;
        members = cold;
      }
    }
  }
  if (chosen == nullptr || !MayLoad(chosen->groupSize, aNow)) {
    return false;
  }
  members.resize(chosen->groupSize);
  StartFormation(*chosen, members, aNow, aActions);
  return true;
}

std::vector<const fleet::instance*>
assembler::Cold(const free_list& aFree) const
{
  free_list cold;
  for (const fleet::instance* one : aFree) {
    if (one->staged.empty() && mHosts.at(one->id).staging.Empty()) {
      cold.push_back(one);
    }
  }
  return cold;
}

const routes::model_profile*
assembler::ModelToStage(const free_list& aFree, const domain_name& aDomain) const
{
  if (const routes::model_profile* home = HomeOf(aDomain)) {
    return home;
  }
  const double hosts = static_cast<double>(std::max<std::size_t>(mHosts.size(), 1));
  const routes::model_profile* chosen = nullptr;
  double lowest = 0;
  for (const routes::model_profile& model : mService.engine->models) {
    std::size_t meant = 0;
    for (const fleet::instance* other : aFree) {
      meant += Holds(*other, model.name) || mHosts.at(other->id).staging == model.name ? 1 : 0;
    }
    const std::size_t missing = model.groupSize - meant % model.groupSize;
    const double cost = Supply(model.name) / hosts + kMissingWeight * static_cast<double>(missing);
    if (chosen == nullptr || cost < lowest) {
      chosen = &model;
      lowest = cost;
    }
  }
  return chosen;
}

std::vector<assembler::staging_wish>
assembler::StagingWishes(const free_list& aFree) const
{
  std::vector<staging_wish> wishes;
  for (const auto& [domain, free] : ByDomain(aFree)) {
    const routes::model_profile* model = ModelToStage(free, domain);
    free_list cold = Cold(free);
    if (model == nullptr || cold.empty()) {
      continue;
    }
    if (HomeOf(domain) == nullptr) {
      // What the next one is for depends on this one.
      cold.resize(1);
    }
    const auto meant = std::count_if(free.begin(), free.end(), [&](const auto* aOne) {
      return Holds(*aOne, model->name) || mHosts.at(aOne->id).staging == model->name;
    });
    const std::size_t over = static_cast<std::size_t>(meant) % model->groupSize;
    const double capacity = static_cast<double>(model->groupSize) / (1 + Supply(model->name));
    const std::vector<double> parts = PartsOfGroup(cold.size(), over, model->groupSize);
    for (std::size_t i = 0; i < cold.size(); ++i) {
      wishes.push_back(
        { cold[i], model, capacity * parts[i] / static_cast<double>(model->loadTime.ms) });
    }
  }
  std::stable_sort(wishes.begin(), wishes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.worth > aRight.worth;
  });
  return wishes;
}

void
assembler::StageIdle(const free_list& aFree, time_point aNow, actions& aActions)
{
  for (const staging_wish& wish : StagingWishes(aFree)) {
    Stage(*wish.instance, wish.model, aNow, aActions);
  }
  // Instances that are left alone with another model's weights become spares of their domain.
  for (const auto& [domain, free] : ByDomain(aFree)) {
    const routes::model_profile* home = HomeOf(domain);
    for (const fleet::instance* one : free) {
      const bool foreign = home != nullptr && !one->staged.empty() && !Holds(*one, home->name);
      if (foreign && mHosts.at(one->id).staging.Empty()) {
        Stage(*one, home, aNow, aActions);
      }
    }
  }
}

void
assembler::Stage(const fleet::instance& aInstance,
                 const routes::model_profile* aModel,
                 time_point aNow,
                 actions& aActions)
{
  if (aModel == nullptr || !MayLoad(1, aNow)) {
    return;
  }
  CountLoads(1, aNow);
  host_record& host = mHosts.at(aInstance.id);
  host.staging = aModel->name;
  host.stagingUntil = aNow + aModel->loadTime * kStagingFactor;
  engine_order order;
  order.kind = order_kind::stage;
  order.instance = aInstance.id;
  order.model = aModel->name;
  Give(std::move(order), aNow, aActions);
}

void
assembler::StartFormation(const routes::model_profile& aModel,
                          const free_list& aMembers,
                          time_point aNow,
                          actions& aActions)
{
  formation made;
  made.id = { fmt::format("g{}-{}", mToken.value, ++mLastGroup) };
  mHighestEpoch = std::max(mHighestEpoch, mToken.value * kEpochsPerToken) + 1;
  made.epoch = { mHighestEpoch };
  made.model = aModel.name;
  made.since = aNow;
  std::size_t loads = 0;
  std::string names;
  for (const fleet::instance* one : aMembers) {
    formation_member member;
    member.instance = one->id;
    member.life = one->life;
    member.loads = !Holds(*one, aModel.name);
    loads += member.loads ? 1 : 0;
    names += (names.empty() ? "" : ",") + one->id.value;
    made.members.push_back(member);
  }
  if (loads > 0) {
    CountLoads(loads, aNow);
  }
  Note(note_decision::what::formed, made, names, aActions);
  mFormations.push_back(std::move(made));
  // The orders follow in the next step, which sees the formation as any other.
}

} // namespace persimmon::assembly
