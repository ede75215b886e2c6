#include "assembly/assembler.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

/// Fewer instances than this prove nothing about the own connection.
constexpr std::size_t kFewestForQuorum = 4;

} // namespace

assembler::assembler(routes::service_profile aService, assembly_options aOptions)
  : mService(std::move(aService))
  , mOptions(aOptions)
{
}

void
assembler::Configure(const routes::service_profile& aService)
{
  mService = aService;
}

void
assembler::Lead(fencing_token aToken, time_point aNow)
{
  mLeads = true;
  mToken = aToken;
  mLeadsSince = aNow;
  mLastNewHost = aNow;
  mLastGroup = 0;
  mHosts.clear();
  mFormations.clear();
  mEnded.clear();
  mHomes.Clear();
  mDividedAt = { INT64_MIN / 2 };
  mGiven.clear();
}

void
assembler::StopLeading()
{
  mLeads = false;
  mFormations.clear();
  mGiven.clear();
}

formation*
assembler::Find(const group_id& aGroup, generation aEpoch)
{
  const auto found =
    std::find_if(mFormations.begin(), mFormations.end(), [&](const formation& aOne) {
      return aOne.id == aGroup && aOne.epoch == aEpoch;
    });
  return found == mFormations.end() ? nullptr : &*found;
}

const formation*
assembler::FormationOf(const instance_id& aInstance) const
{
  for (const formation& one : mFormations) {
    for (const formation_member& member : one.members) {
      if (member.instance == aInstance) {
        return &one;
      }
    }
  }
  return nullptr;
}

bool
assembler::IsLost(const instance_id& aInstance) const
{
  const auto found = mHosts.find(aInstance);
  if (found == mHosts.end()) {
    return true;
  }
  const host_record& host = found->second;
  return host.misses >= (host.suspected ? mOptions.missesWhenSuspected : mOptions.missesUntilLost);
}

std::vector<assembly_action>
assembler::Step(const fleet::fleet_view& aFleet, time_point aNow)
{
  actions wanted;
  if (!mLeads || !mService.engine) {
    return wanted;
  }
  UpdateHosts(aFleet, aNow);
  Adopt(aFleet, aNow, wanted);
  Ask(aNow, wanted);
  if (!CutOff(aFleet)) {
    for (formation& one : mFormations) {
      Advance(one, aFleet, aNow, wanted);
    }
    std::erase_if(mFormations, [](const formation& aOne) { return aOne.members.empty(); });
    Form(aFleet, aNow, wanted);
  }
  return wanted;
}

void
assembler::UpdateHosts(const fleet::fleet_view& aFleet, time_point aNow)
{
  for (const fleet::instance* one : aFleet.OfService(mService.name)) {
    const auto [entry, added] = mHosts.try_emplace(one->id);
    host_record& host = entry->second;
    mLastNewHost = added ? aNow : mLastNewHost;
    if (one->life > host.life) {
      host = {};
      host.life = one->life;
      host.askAt = aNow;
    }
    host.address = one->address;
    if (one->member) {
      mHighestEpoch = std::max(mHighestEpoch, one->member->epoch.value);
    }
  }
  std::erase_if(mHosts, [&](const auto& aEntry) {
    return FormationOf(aEntry.first) == nullptr && aFleet.Find(aEntry.first) == nullptr;
  });
}

duration
assembler::AskInterval(const instance_id& aInstance) const
{
  const formation* its = FormationOf(aInstance);
  if (its == nullptr) {
    return mOptions.askInterval;
  }
  if (its->at != formation::stage::serving) {
    return mOptions.askIntervalForming;
  }
  const bool isHead = its->Head().instance == aInstance;
  const auto heads = static_cast<double>(mFormations.size());
  const double asked = isHead ? heads : static_cast<double>(mHosts.size()) - heads;
  const duration spread{ static_cast<std::int64_t>(1000 * asked / mOptions.questionsPerSecond) };
  return std::clamp(spread, mOptions.askInterval, mOptions.longestAskInterval);
}

void
assembler::Ask(time_point aNow, actions& aActions)
{
  for (auto& [id, host] : mHosts) {
    if (!host.asked && host.askAt <= aNow) {
      host.asked = true;
      aActions.push_back(ask_report{ id, host.address });
    }
  }
}

void
assembler::NoteReport(const instance_id& aInstance,
                      const std::optional<fleet::engine_report>& aReport,
                      time_point aNow)
{
  const auto found = mHosts.find(aInstance);
  if (found == mHosts.end()) {
    return;
  }
  host_record& host = found->second;
  host.asked = false;
  if (!aReport) {
    ++host.misses;
    host.askAt = aNow + mOptions.askAgain;
    return;
  }
  if (aReport->life > host.life) {
    const endpoint address = host.address;
    host = {};
    host.life = aReport->life;
    host.address = address;
  }
  host.report = aReport;
  host.answeredAt = aNow;
  host.misses = 0;
  host.suspected = false;
  host.askAt = aNow + AskInterval(aInstance);
  if (aReport->member) {
    mHighestEpoch = std::max(mHighestEpoch, aReport->member->epoch.value);
  }
}

void
assembler::Suspect(const group_id& aGroup, generation aEpoch, time_point aNow)
{
  const formation* suspect = Find(aGroup, aEpoch);
  if (suspect == nullptr) {
    return;
  }
  for (const formation_member& member : suspect->members) {
    const auto found = mHosts.find(member.instance);
    if (found != mHosts.end()) {
      found->second.suspected = true;
      found->second.askAt = std::min(found->second.askAt, aNow);
    }
  }
}

bool
assembler::CutOff(const fleet::fleet_view& aFleet) const
{
  std::size_t asked = 0;
  std::size_t silent = 0;
  for (const auto& [id, host] : mHosts) {
    if (aFleet.Find(id) != nullptr) {
      ++asked;
      silent += host.misses > 0 ? 1 : 0;
    }
  }
  const double answering = static_cast<double>(asked - silent);
  return asked >= kFewestForQuorum && answering < mOptions.quorum * static_cast<double>(asked);
}

void
assembler::Adopt(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions)
{
  for (const fleet::engine_group& group : aFleet.Groups(mService)) {
    const bool ended = mEnded.count({ group.id, group.epoch }) != 0;
    if (!ended && Find(group.id, group.epoch) == nullptr) {
      AdoptGroup(group, aFleet, aNow, aActions);
    }
  }
}

void
assembler::AdoptGroup(const fleet::engine_group& aGroup,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions)
{
  // A group that was let go may still be told of by entries that lag behind.
  const bool fresh =
    std::all_of(aGroup.members.begin(), aGroup.members.end(), [&](const instance_id& aId) {
      const auto found = mHosts.find(aId);
      return found != mHosts.end() && found->second.answeredAt > mLeadsSince &&
             IsIn(aGroup.id, aGroup.epoch, aId, aFleet);
    });
  const bool taken =
    std::any_of(aGroup.members.begin(), aGroup.members.end(), [this](const instance_id& aId) {
      return FormationOf(aId) != nullptr;
    });
  const bool waited = aNow - mLeadsSince > mOptions.adoptionGrace;
  if (taken || (!aGroup.whole && !waited) || (!fresh && !waited)) {
    return;
  }
  formation adopted;
  adopted.id = aGroup.id;
  adopted.epoch = aGroup.epoch;
  adopted.model = aGroup.model;
  adopted.since = aNow;
  const fleet::instance* first = aFleet.Find(aGroup.members.front());
  if (first->member->rank != 0) {
    // The head is not known: it may live and serve where this process cannot see it.
    adopted.members.push_back({});
  }
  for (const instance_id& id : aGroup.members) {
    const fleet::instance* member = aFleet.Find(id);
    const bool ready = member->member->phase != fleet::member_phase::joining;
    adopted.members.push_back({ id, member->life, true, ready, false, aNow, false, {} });
  }
  switch (aGroup.headPhase) {
    case fleet::member_phase::open:
      adopted.at = formation::stage::serving;
      break;
    case fleet::member_phase::closing:
      adopted.at = formation::stage::closing;
      break;
    case fleet::member_phase::joining:
    case fleet::member_phase::ready:
      adopted.at = formation::stage::forming;
      break;
    case fleet::member_phase::broken:
      adopted.at = formation::stage::releasing;
      break;
  }
  if (!aGroup.whole) {
    adopted.at = formation::stage::releasing;
  }
  Note(note_decision::what::adopted, adopted, StageName(adopted.at), aActions);
  mFormations.push_back(std::move(adopted));
}

void
assembler::Give(engine_order aOrder, time_point aNow, actions& aActions)
{
  const auto host = mHosts.find(aOrder.instance);
  if (host == mHosts.end()) {
    return;
  }
  const order_id id{ ++mLastOrder };
  aOrder.token = mToken;
  mGiven[id] = { aOrder, aNow };
  aActions.push_back(give_order{ id, host->second.address, std::move(aOrder) });
}

void
assembler::Note(note_decision::what aDecision,
                const formation& aFormation,
                const std::string& aCause,
                actions& aActions) const
{
  aActions.push_back(
    note_decision{ aDecision, aFormation.id, aFormation.epoch, aFormation.model, aCause });
}

} // namespace persimmon::assembly
