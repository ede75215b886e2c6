#include "placement/domainowner.h"

#include "placement/internal/groupcheck.h"
#include "placement/internal/groupdecider.h"
#include "placement/placementevents.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::placement {
namespace {

/// Between an order and its repetition when the instance's state does not show it.
constexpr duration kOrderInterval{ 2000 };
/// After a call that the platform did not take.
constexpr duration kCallRetry{ 500 };

} // namespace

domain_owner::domain_owner(domain_name aDomain, owner_options aOptions, std::uint64_t aSeed)
  : mDomain(std::move(aDomain))
  , mOptions(std::move(aOptions))
  , mRandom(aSeed)
{
  mTable.domain = mDomain;
}

domain_owner::~domain_owner() = default;
domain_owner::domain_owner(domain_owner&&) noexcept = default;
domain_owner&
domain_owner::operator=(domain_owner&&) noexcept = default;

bool
domain_owner::IsOwnKey(const platform::object_key& aKey) const
{
  return aKey.kind == kDomainKind && aKey.name == mDomain.value;
}

void
domain_owner::SetInstances(const std::vector<platform::listed_instance>& aInstances,
                           std::set<instance_id> aForeign)
{
  mMembers.OnListed(aInstances, mDomain, std::move(aForeign));
  mMembers.OnTable(mTable);
}

void
domain_owner::SetTable(revision aVersion, std::optional<domain_table> aTable, time_point aNow)
{
  if (mKnown && aVersion <= mVersion) {
    return;
  }
  mKnown = true;
  mUnsettled = false;
  mVersion = aTable ? aVersion : revision{};
  mTable = aTable ? std::move(*aTable) : domain_table{ mDomain, {}, {}, {}, {}, {} };
  const bool taken = mTable.owner == mOptions.self && mTable.token != mSettledToken;
  if (taken) {
    // Whoever owned the domain before may still order until its lease has ended.
    mSettledToken = mTable.token;
    const bool first = mTable.token.value <= 1;
    mSettledAt = aNow + (first ? duration{} : mLeaseLength + mOptions.longestOrder);
  }
  FollowProgress(aNow);
  mMembers.OnTable(mTable);
}

void
domain_owner::FollowProgress(time_point aNow)
{
  std::map<group_id, group_progress> progress;
  for (const group& entry : mTable.groups) {
    const auto before = mProgress.find(entry.id);
    const bool same = before != mProgress.end() && before->second.state == entry.state &&
                      before->second.version == entry.version;
    progress[entry.id] =
      same ? before->second : group_progress{ entry.state, entry.version, aNow, mVersion };
  }
  mProgress = std::move(progress);
}

placement_actions
domain_owner::Handle(const placement_event& aEvent, const owner_view& aView, time_point aNow)
{
  placement_actions actions;
  mLeaseLength = aView.leaseLength;
  if (const auto* read = std::get_if<object_read>(&aEvent)) {
    OnRead(*read, aNow);
  } else if (const auto* written = std::get_if<object_written>(&aEvent)) {
    OnWritten(*written, aNow, actions);
  } else if (const auto* member = std::get_if<member_read>(&aEvent)) {
    OnMemberRead(*member, aNow, actions);
  } else if (const auto* order = std::get_if<order_done>(&aEvent)) {
    mMembers.OnOrderDone(*order, aNow);
    mMustRead = mMustRead || order->outcome == order_outcome::stale_token;
  } else if (const auto* applied = std::get_if<table_applied>(&aEvent)) {
    mApplied = applied->domain == mDomain ? std::max(mApplied, applied->version) : mApplied;
  }
  if (aView.owned != mWasOwned) {
    mWasOwned = aView.owned;
    actions.emplace_back(
      log_decision{ aView.owned ? kDomainTaken : kDomainLeft, mDomain.value, {}, {}, {} });
  }
  if (aView.owned) {
    Step(aView, aNow, actions);
  }
  return actions;
}

void
domain_owner::OnRead(const object_read& aEvent, time_point aNow)
{
  if (!IsOwnKey(aEvent.key) || !mReading) {
    return;
  }
  mReading = false;
  if (!aEvent.object && aEvent.error != platform::store_error::not_found) {
    mMustRead = true;
    mNextCall = aNow + kCallRetry;
    return;
  }
  mCheckedEpoch = mReadEpoch;
  if (!aEvent.object) {
    mKnown = mKnown && mVersion == revision{};
    SetTable({}, std::nullopt, aNow);
    return;
  }
  table_reason why;
  auto table = ParseDomainTable(aEvent.object->value, why);
  if (table) {
    SetTable(aEvent.object->version, std::move(table), aNow);
  }
}

void
domain_owner::OnWritten(const object_written& aEvent, time_point aNow, placement_actions& aActions)
{
  if (!IsOwnKey(aEvent.key) || !mWriting) {
    return;
  }
  auto written = std::move(mWriting);
  mWriting.reset();
  if (aEvent.version) {
    SetTable(*aEvent.version, std::move(written), aNow);
    return;
  }
  if (aEvent.error == platform::store_error::conflict) {
    mMustRead = true;
    return;
  }
  mNextCall = aNow + kCallRetry;
  if (aEvent.error == platform::store_error::unknown_outcome) {
    mMustRead = true;
    mUnsettled = mVersion == mBase;
    aActions.emplace_back(log_decision{ kTableUnsettled, mDomain.value, {}, {}, {} });
  }
}

void
domain_owner::OnMemberRead(const member_read& aEvent, time_point aNow, placement_actions& aActions)
{
  const tracked_instance* instance = mMembers.Find(aEvent.instance);
  const bool wasLost = instance != nullptr && instance->lost;
  if (mMembers.OnRead(aEvent, mTable, aNow) && instance->lost != wasLost) {
    aActions.emplace_back(log_decision{ instance->lost ? kInstanceLost : kInstanceBack,
                                        mDomain.value,
                                        {},
                                        {},
                                        aEvent.instance.value });
  }
}

domain_table
domain_owner::Decide(const owner_view& aView, time_point aNow, placement_actions& aActions)
{
  domain_table next = mTable;
  if (mTable.owner != mOptions.self) {
    next.owner = mOptions.self;
    next.token = mTable.token.Next();
    return next;
  }
  if (aView.plan == nullptr) {
    return next;
  }
  const decision_context context{ aView.documents,  *aView.plan,     mMembers, mProgress,
                                  mOptions.weights, mOptions.policy, aNow,     mSettledAt,
                                  mApplied,         mRandom };
  return group_decider(context, mTable, aActions).Decide();
}

void
domain_owner::Step(const owner_view& aView, time_point aNow, placement_actions& aActions)
{
  mMembers.Read(mTable, aNow, aActions);
  if (mReading || mWriting || aNow < mNextCall) {
    return;
  }
  if (mMustRead || !mKnown || mCheckedEpoch != aView.leaseEpoch) {
    mReading = true;
    mMustRead = false;
    mReadEpoch = aView.leaseEpoch;
    aActions.emplace_back(read_object{ { kDomainKind, mDomain.value } });
    return;
  }
  placement_actions notes;
  domain_table next = Decide(aView, aNow, notes);
  if (next != mTable || mUnsettled) {
    aActions.insert(aActions.end(), notes.begin(), notes.end());
    Write(std::move(next), aNow, aActions);
    return;
  }
  Order(aView, aNow, aActions);
}

void
domain_owner::Write(domain_table aNext, time_point, placement_actions& aActions)
{
  aNext.lastWrite.value = fmt::format("{}/{}", mOptions.self.value, ++mWrites);
  mBase = mVersion;
  platform::write_condition condition;
  if (mVersion != revision{}) {
    condition.expected = mVersion;
  }
  aActions.emplace_back(
    write_object{ { kDomainKind, mDomain.value }, RenderDomainTable(aNext), condition });
  mWriting = std::move(aNext);
}

bool
domain_owner::MayOrder(const tracked_instance& aInstance, time_point aNow) const
{
  const bool settled = aInstance.listed.checksFencingTokens || aNow >= mSettledAt;
  return settled && !aInstance.ordering && !aInstance.lost && aNow >= aInstance.nextOrder &&
         aInstance.state.has_value();
}

void
domain_owner::Order(const owner_view& aView, time_point aNow, placement_actions& aActions)
{
  if (aNow >= aView.orderUntil) {
    return;
  }
  for (const group& entry : mTable.groups) {
    if (entry.state == group_state::loading) {
      for (std::size_t rank = 0; rank < entry.members.size(); ++rank) {
        OrderMember(entry, rank, aView, aNow, aActions);
      }
    } else if (entry.state == group_state::draining) {
      OrderMember(entry, 0, aView, aNow, aActions);
    }
  }
  ReleaseUnused(aView, aNow, aActions);
}

void
domain_owner::OrderMember(const group& aGroup,
                          std::size_t aRank,
                          const owner_view& aView,
                          time_point aNow,
                          placement_actions& aActions)
{
  tracked_instance* instance = mMembers.Find(aGroup.members[aRank].instance);
  if (instance == nullptr || !MayOrder(*instance, aNow)) {
    return;
  }
  const member_state& state = *instance->state;
  const bool ordered = IsAsOrdered(state, aGroup, aRank);
  engine_order order{ order_kind::load, mTable.token, aGroup.id, aGroup.version,
                      aGroup.service,   aGroup.model, aRank,     aGroup.members[aRank].life,
                      aGroup.members };
  if (aGroup.state == group_state::draining) {
    if (!ordered || state.state == engine_state::draining) {
      return;
    }
    order.kind = order_kind::drain;
  } else {
    if (ordered && state.state != engine_state::draining) {
      return;
    }
    const bool adapterOnly = state.group == aGroup.id &&
                             DiffersInAdapterOnly(state.model, aGroup.model) &&
                             instance->lastOrder != order_kind::adapter;
    order.kind = adapterOnly ? order_kind::adapter : order_kind::load;
  }
  Send(*instance, std::move(order), aView, aNow, aActions);
}

void
domain_owner::ReleaseUnused(const owner_view& aView, time_point aNow, placement_actions& aActions)
{
  std::set<instance_id> used;
  for (const group& entry : mTable.groups) {
    for (const group_member& member : entry.members) {
      used.insert(member.instance);
    }
  }
  for (const auto& [id, known] : mMembers.All()) {
    const bool holdsGroup = known.state && !known.state->group.Empty();
    if (!holdsGroup || used.contains(id) || mMembers.IsForeign(id) || !MayOrder(known, aNow)) {
      continue;
    }
    const member_state& state = *known.state;
    engine_order order{ order_kind::release, mTable.token,  state.group,
                        state.version,       state.service, state.model,
                        state.rank,          state.life,    {} };
    Send(*mMembers.Find(id), std::move(order), aView, aNow, aActions);
  }
}

void
domain_owner::Send(tracked_instance& aInstance,
                   engine_order aOrder,
                   const owner_view& aView,
                   time_point aNow,
                   placement_actions& aActions)
{
  aInstance.ordering = true;
  aInstance.lastOrder = aOrder.kind;
  aInstance.nextOrder = aNow + kOrderInterval;
  aActions.emplace_back(log_decision{ kOrderSent,
                                      mDomain.value,
                                      aOrder.group.value,
                                      aOrder.service.value,
                                      fmt::format("{} {} generation {}",
                                                  OrderName(aOrder.kind),
                                                  aInstance.listed.id.value,
                                                  aOrder.version.value) });
  aActions.emplace_back(send_order{
    aInstance.listed.id, aInstance.listed.address, std::move(aOrder), aView.orderUntil });
}

} // namespace persimmon::placement
