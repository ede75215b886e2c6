#include "assembly/assembler.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

/// An answer given this long after an order tells whether the order was carried out.
constexpr duration kOrderSettle = 700_ms;
/// Shortest time that a formation gets.
constexpr duration kShortestForming = 5_s;
/// Longest time from the order to open until the head takes requests.
constexpr duration kLongestOpening = 5_s;
/// A group whose instances are all gone is forgotten after this time.
constexpr duration kForgetTime = 20_s;

bool
Due(const std::optional<time_point>& aLast, duration aInterval, time_point aNow)
{
  return !aLast || aNow - *aLast >= aInterval;
}

bool
Succeeded(order_outcome aOutcome)
{
  return aOutcome == order_outcome::begun || aOutcome == order_outcome::done;
}

/// Returns an order about a formation to one of its members.
engine_order
OrderTo(const formation& aFormation, const instance_id& aMember, order_kind aKind)
{
  engine_order order;
  order.kind = aKind;
  order.instance = aMember;
  order.group = aFormation.id;
  order.epoch = aFormation.epoch;
  return order;
}

} // namespace

std::optional<fleet::membership>
assembler::MembershipOf(const instance_id& aInstance, const fleet::fleet_view& aFleet) const
{
  const auto host = mHosts.find(aInstance);
  const fleet::instance* entry = aFleet.Find(aInstance);
  auto registered = entry == nullptr ? std::nullopt : entry->member;
  if (host == mHosts.end() || !host->second.report) {
    return registered;
  }
  // What an instance answers is newer than its entry, which lags, but for progress in one group.
  const auto& answered = host->second.report->member;
  const bool same = answered && registered && answered->group == registered->group &&
                    answered->epoch == registered->epoch && entry->life == host->second.life;
  return same && registered->phase > answered->phase ? registered : answered;
}

bool
assembler::IsIn(const group_id& aGroup,
                generation aEpoch,
                const instance_id& aInstance,
                const fleet::fleet_view& aFleet) const
{
  const auto member = MembershipOf(aInstance, aFleet);
  return member && member->group == aGroup && member->epoch == aEpoch;
}

std::string
assembler::Lost(const formation& aFormation,
                const formation_member& aMember,
                const fleet::fleet_view& aFleet) const
{
  const auto found = mHosts.find(aMember.instance);
  if (found == mHosts.end()) {
    return "unknown instance " + aMember.instance.value;
  }
  const host_record& host = found->second;
  if (host.life > aMember.life) {
    return "restarted " + aMember.instance.value;
  }
  if (IsLost(aMember.instance)) {
    return "no answer from " + aMember.instance.value;
  }
  const bool settled =
    aMember.accepted && aMember.askedAt && host.answeredAt > *aMember.askedAt + kOrderSettle;
  if (settled && !IsIn(aFormation.id, aFormation.epoch, aMember.instance, aFleet)) {
    return "left " + aMember.instance.value;
  }
  return {};
}

void
assembler::Advance(formation& aFormation,
                   const fleet::fleet_view& aFleet,
                   time_point aNow,
                   actions& aActions)
{
  if (aFormation.at == formation::stage::releasing) {
    AdvanceReleasing(aFormation, aFleet, aNow, aActions);
    return;
  }
  for (const formation_member& member : aFormation.members) {
    const std::string cause = Lost(aFormation, member, aFleet);
    if (cause.empty()) {
      continue;
    }
    if (aFormation.at == formation::stage::forming) {
      Note(note_decision::what::abandoned, aFormation, cause, aActions);
      Free(aFormation, cause, aNow, aActions);
    } else {
      Release(aFormation, cause, aNow, aActions);
    }
    return;
  }
  switch (aFormation.at) {
    case formation::stage::forming:
      AdvanceForming(aFormation, aFleet, aNow, aActions);
      break;
    case formation::stage::opening:
    case formation::stage::serving:
      AdvanceOpening(aFormation, aFleet, aNow, aActions);
      break;
    case formation::stage::closing:
      AdvanceClosing(aFormation, aFleet, aNow, aActions);
      break;
    case formation::stage::releasing:
      break;
  }
}

void
assembler::AdvanceForming(formation& aFormation,
                          const fleet::fleet_view& aFleet,
                          time_point aNow,
                          actions& aActions)
{
  const routes::model_profile* model = mService.engine->FindModel(aFormation.model);
  const duration expected = model == nullptr ? duration{} : model->loadTime;
  bool ready = true;
  for (formation_member& member : aFormation.members) {
    const auto membership = MembershipOf(member.instance, aFleet);
    if (IsIn(aFormation.id, aFormation.epoch, member.instance, aFleet)) {
      member.accepted = true;
      member.wasReady = membership->phase != fleet::member_phase::joining;
    }
    ready = ready && member.wasReady;
    if (!member.accepted && Due(member.askedAt, mOptions.orderAgain, aNow)) {
      member.askedAt = aNow;
      engine_order order = OrderTo(aFormation, member.instance, order_kind::join);
      order.model = aFormation.model;
      for (const formation_member& one : aFormation.members) {
        order.members.push_back(one.instance);
      }
      Give(std::move(order), aNow, aActions);
    }
  }
  if (ready) {
    aFormation.at = formation::stage::opening;
    aFormation.since = aNow;
    AdvanceOpening(aFormation, aFleet, aNow, aActions);
    return;
  }
  if (aNow - aFormation.since > kShortestForming + expected * mOptions.formingFactor) {
    Note(note_decision::what::abandoned, aFormation, "takes too long", aActions);
    Free(aFormation, "takes too long", aNow, aActions);
  }
}

void
assembler::AdvanceOpening(formation& aFormation,
                          const fleet::fleet_view& aFleet,
                          time_point aNow,
                          actions& aActions)
{
  const instance_id head = aFormation.Head().instance;
  const auto membership = MembershipOf(head, aFleet);
  const auto phase = membership ? membership->phase : fleet::member_phase::joining;
  if (phase == fleet::member_phase::broken) {
    Release(aFormation, "head reports broken", aNow, aActions);
    return;
  }
  if (phase == fleet::member_phase::open) {
    if (aFormation.at != formation::stage::serving) {
      aFormation.at = formation::stage::serving;
      Note(note_decision::what::opened, aFormation, "", aActions);
    }
    const bool leaving = std::any_of(
      aFormation.members.begin(), aFormation.members.end(), [&](const formation_member& aMember) {
        const fleet::instance* entry = aFleet.Find(aMember.instance);
        return entry == nullptr || entry->draining;
      });
    if (leaving) {
      aFormation.at = formation::stage::closing;
      aFormation.since = aNow;
      Note(note_decision::what::closing, aFormation, "a member leaves", aActions);
    }
    return;
  }
  if (aFormation.at == formation::stage::opening && aNow - aFormation.since > kLongestOpening) {
    Release(aFormation, "does not open", aNow, aActions);
    return;
  }
  if (Due(aFormation.openAskedAt, mOptions.orderAgain, aNow)) {
    aFormation.openAskedAt = aNow;
    Give(OrderTo(aFormation, head, order_kind::open), aNow, aActions);
  }
}

void
assembler::AdvanceClosing(formation& aFormation,
                          const fleet::fleet_view& aFleet,
                          time_point aNow,
                          actions& aActions)
{
  const instance_id head = aFormation.Head().instance;
  const auto membership = MembershipOf(head, aFleet);
  const bool closed = aFormation.closeAskedAt &&
                      IsIn(aFormation.id, aFormation.epoch, head, aFleet) &&
                      membership->phase == fleet::member_phase::ready;
  if (closed) {
    Free(aFormation, "closed", aNow, aActions);
    return;
  }
  if (membership && membership->phase == fleet::member_phase::broken) {
    Release(aFormation, "head reports broken", aNow, aActions);
    return;
  }
  if (aNow - aFormation.since > mOptions.closeTime) {
    Release(aFormation, "does not close", aNow, aActions);
    return;
  }
  if (Due(aFormation.closeAskedAt, mOptions.orderAgain * 2, aNow)) {
    aFormation.closeAskedAt = aNow;
    Give(OrderTo(aFormation, head, order_kind::close), aNow, aActions);
  }
}

bool
assembler::HasLeft(const formation& aFormation,
                   const formation_member& aMember,
                   const fleet::fleet_view& aFleet) const
{
  const auto host = mHosts.find(aMember.instance);
  if (aMember.left || host == mHosts.end()) {
    return aMember.left;
  }
  if (host->second.life > aMember.life) {
    return true;
  }
  const bool answered = host->second.misses == 0 && host->second.answeredAt > aFormation.since;
  return answered && !IsIn(aFormation.id, aFormation.epoch, aMember.instance, aFleet);
}

void
assembler::AdvanceReleasing(formation& aFormation,
                            const fleet::fleet_view& aFleet,
                            time_point aNow,
                            actions& aActions)
{
  for (formation_member& member : aFormation.members) {
    member.left = HasLeft(aFormation, member, aFleet);
  }
  if (aFormation.Head().left) {
    Free(aFormation, "head left", aNow, aActions);
    return;
  }
  // A head that cannot be seen may live; whoever has left it for sure is bound no more.
  const instance_id head = aFormation.Head().instance;
  std::erase_if(aFormation.members, [&](const formation_member& aMember) {
    const bool leaves = aMember.left && aMember.instance != head;
    if (leaves) {
      FreeMember(aFormation, aMember, aNow);
    }
    return leaves;
  });
  bool anyKnown = false;
  for (formation_member& member : aFormation.members) {
    anyKnown = anyKnown || aFleet.Find(member.instance) != nullptr;
    const bool wanted = member.instance == head || IsLost(head);
    if (!wanted || !Due(member.leaveAskedAt, mOptions.orderAgain, aNow)) {
      continue;
    }
    member.leaveAskedAt = aNow;
    Give(OrderTo(aFormation, member.instance, order_kind::leave), aNow, aActions);
  }
  if (!anyKnown && aNow - aFormation.since > kForgetTime) {
    Free(aFormation, "all members gone", aNow, aActions);
  }
}

void
assembler::Release(formation& aFormation,
                   const std::string& aCause,
                   time_point aNow,
                   actions& aActions)
{
  aFormation.at = formation::stage::releasing;
  aFormation.since = aNow;
  Note(note_decision::what::released, aFormation, aCause, aActions);
}

void
assembler::Free(formation& aFormation,
                const std::string& aCause,
                time_point aNow,
                actions& aActions)
{
  Note(note_decision::what::freed, aFormation, aCause, aActions);
  mEnded.emplace(aFormation.id, aFormation.epoch);
  for (const formation_member& member : aFormation.members) {
    FreeMember(aFormation, member, aNow);
  }
  aFormation.members.clear();
}

void
assembler::FreeMember(const formation& aFormation, const formation_member& aMember, time_point aNow)
{
  const auto host = mHosts.find(aMember.instance);
  if (host == mHosts.end() || host->second.life != aMember.life) {
    return;
  }
  if (aMember.wasReady) {
    host->second.lastModel = aFormation.model;
  }
  host->second.askAt = aNow;
}

void
assembler::NoteOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow)
{
  const auto given = mGiven.find(aOrder);
  if (given == mGiven.end()) {
    return;
  }
  const engine_order order = given->second.order;
  mGiven.erase(given);
  const auto host = mHosts.find(order.instance);
  if (host != mHosts.end()) {
    host->second.askAt = std::min(host->second.askAt, aNow + mOptions.askIntervalForming);
    if (order.kind == order_kind::stage && !Succeeded(aOutcome)) {
      host->second.staging = {};
      host->second.heldUntil = aNow + mOptions.orderAgain;
    }
  }
  formation* its = Find(order.group, order.epoch);
  if (its == nullptr || its->members.empty()) {
    return;
  }
  for (formation_member& member : its->members) {
    if (member.instance != order.instance) {
      continue;
    }
    if (order.kind == order_kind::join && Succeeded(aOutcome)) {
      member.accepted = true;
    }
    if (order.kind == order_kind::leave && Succeeded(aOutcome)) {
      member.left = true;
    }
  }
}

} // namespace persimmon::assembly
