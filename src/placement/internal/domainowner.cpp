#include "placement/domainowner.h"

#include "placement/internal/groupcheck.h"
#include "placement/internal/groupreconciler.h"
#include "placement/placementevents.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::placement {
namespace {

/// Delay before an order is repeated when the instance's state does not reflect it.
constexpr duration kOrderRetryInterval{ 2000 };
/// Delay before the next call after the object store failed one.
constexpr duration kStoreRetryDelay{ 500 };

} // namespace

domain_owner::domain_owner(domain_id aDomain, owner_options aOptions, std::uint64_t aSeed)
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
                           std::set<instance_id> aHeldElsewhere)
{
  mMembers.OnListed(aInstances, mDomain, std::move(aHeldElsewhere));
  mMembers.TrackMembersOf(mTable);
}

void
domain_owner::SetTable(revision aVersion, std::optional<domain_table> aTable, time_point aNow)
{
  if (mTableSeen && aVersion <= mVersion) {
    return;
  }
  mTableSeen = true;
  mWriteOutcomeUnknown = false;
  mVersion = aTable ? aVersion : revision{};
  mTable = aTable ? std::move(*aTable) : domain_table{ mDomain, {}, {}, {}, {}, {} };
  const bool claimed = mTable.owner == mOptions.self && mTable.token != mClaimedToken;
  if (claimed) {
    // The previous owner may still send orders until its lease has expired, and they may be in
    // flight for `longestOrder` after that. The first owner has no predecessor.
    mClaimedToken = mTable.token;
    const bool first = mTable.token.value <= 1;
    mPreviousOwnerExpiry = aNow + (first ? duration{} : mLeaseLength + mOptions.longestOrder);
  }
  UpdateTransitions(aNow);
  mMembers.TrackMembersOf(mTable);
}

void
domain_owner::UpdateTransitions(time_point aNow)
{
  std::map<group_id, group_transition> transitions;
  for (const group& entry : mTable.groups) {
    const auto before = mTransitions.find(entry.id);
    const bool same = before != mTransitions.end() && before->second.state == entry.state &&
                      before->second.version == entry.version;
    transitions[entry.id] =
      same ? before->second : group_transition{ entry.state, entry.version, aNow, mVersion };
  }
  mTransitions = std::move(transitions);
}

placement_actions
domain_owner::Handle(const placement_event& aEvent, const owner_context& aContext, time_point aNow)
{
  placement_actions actions;
  mLeaseLength = aContext.leaseLength;
  if (const auto* read = std::get_if<object_read>(&aEvent)) {
    OnRead(*read, aNow);
  } else if (const auto* written = std::get_if<object_written>(&aEvent)) {
    OnWritten(*written, aNow, actions);
  } else if (const auto* member = std::get_if<member_read>(&aEvent)) {
    OnMemberRead(*member, aNow, actions);
  } else if (const auto* order = std::get_if<order_done>(&aEvent)) {
    mMembers.OnOrderDone(*order, aNow);
    mReadRequired = mReadRequired || order->outcome == order_outcome::stale_token;
  } else if (const auto* applied = std::get_if<table_applied>(&aEvent)) {
    mAppliedByRouters = applied->domain == mDomain ? std::max(mAppliedByRouters, applied->version)
                                                   : mAppliedByRouters;
  }
  if (aContext.owned != mWasOwned) {
    mWasOwned = aContext.owned;
    actions.emplace_back(
      log_decision{ aContext.owned ? kDomainTaken : kDomainLeft, mDomain.value, {}, {}, {} });
  }
  if (aContext.owned) {
    Reconcile(aContext, aNow, actions);
  }
  return actions;
}

void
domain_owner::OnRead(const object_read& aEvent, time_point aNow)
{
  if (!IsOwnKey(aEvent.key) || !mReadInFlight) {
    return;
  }
  mReadInFlight = false;
  if (!aEvent.object && aEvent.error != platform::store_error::not_found) {
    mReadRequired = true;
    mNextStoreCall = aNow + kStoreRetryDelay;
    return;
  }
  mVerifiedLeaseEpoch = mReadLeaseEpoch;
  if (!aEvent.object) {
    mTableSeen = mTableSeen && mVersion == revision{};
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
  if (!IsOwnKey(aEvent.key) || !mPendingWrite) {
    return;
  }
  auto written = std::move(mPendingWrite);
  mPendingWrite.reset();
  if (aEvent.version) {
    SetTable(*aEvent.version, std::move(written), aNow);
    return;
  }
  if (aEvent.error == platform::store_error::conflict) {
    mReadRequired = true;
    return;
  }
  mNextStoreCall = aNow + kStoreRetryDelay;
  if (aEvent.error == platform::store_error::unknown_outcome) {
    mReadRequired = true;
    mWriteOutcomeUnknown = mVersion == mPendingWriteBase;
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
domain_owner::ComputeNextTable(const owner_context& aContext,
                               time_point aNow,
                               placement_actions& aActions)
{
  domain_table next = mTable;
  if (mTable.owner != mOptions.self) {
    next.owner = mOptions.self;
    next.token = mTable.token.Next();
    return next;
  }
  if (aContext.plan == nullptr) {
    return next;
  }
  const reconcile_context context{
    aContext.documents, *aContext.plan,  mMembers, mTransitions,
    mOptions.weights,   mOptions.policy, aNow,     mPreviousOwnerExpiry,
    mAppliedByRouters,  mRandom
  };
  return group_reconciler(context, mTable, aActions).Reconcile();
}

void
domain_owner::Reconcile(const owner_context& aContext, time_point aNow, placement_actions& aActions)
{
  mMembers.SendDueReads(mTable, aNow, aActions);
  if (mReadInFlight || mPendingWrite || aNow < mNextStoreCall) {
    return;
  }
  if (mReadRequired || !mTableSeen || mVerifiedLeaseEpoch != aContext.leaseEpoch) {
    mReadInFlight = true;
    mReadRequired = false;
    mReadLeaseEpoch = aContext.leaseEpoch;
    aActions.emplace_back(read_object{ { kDomainKind, mDomain.value } });
    return;
  }
  placement_actions decisions;
  domain_table next = ComputeNextTable(aContext, aNow, decisions);
  if (next != mTable || mWriteOutcomeUnknown) {
    aActions.insert(aActions.end(), decisions.begin(), decisions.end());
    WriteTable(std::move(next), aNow, aActions);
    return;
  }
  SendOrders(aContext, aNow, aActions);
}

void
domain_owner::WriteTable(domain_table aNext, time_point, placement_actions& aActions)
{
  aNext.lastWrite.value = fmt::format("{}/{}", mOptions.self.value, ++mWriteCount);
  mPendingWriteBase = mVersion;
  platform::write_condition condition;
  if (mVersion != revision{}) {
    condition.expected = mVersion;
  }
  aActions.emplace_back(
    write_object{ { kDomainKind, mDomain.value }, RenderDomainTable(aNext), condition });
  mPendingWrite = std::move(aNext);
}

bool
domain_owner::CanSendOrder(const tracked_instance& aInstance, time_point aNow) const
{
  const bool previousOwnerExcluded =
    aInstance.listed.checksFencingTokens || aNow >= mPreviousOwnerExpiry;
  return previousOwnerExcluded && !aInstance.orderInFlight && !aInstance.lost &&
         aNow >= aInstance.nextOrderAt && aInstance.state.has_value();
}

void
domain_owner::SendOrders(const owner_context& aContext,
                         time_point aNow,
                         placement_actions& aActions)
{
  if (aNow >= aContext.orderDeadline) {
    return;
  }
  for (const group& entry : mTable.groups) {
    if (entry.state == group_state::loading) {
      for (std::size_t rank = 0; rank < entry.members.size(); ++rank) {
        SendMemberOrder(entry, rank, aContext, aNow, aActions);
      }
    } else if (entry.state == group_state::draining) {
      SendMemberOrder(entry, 0, aContext, aNow, aActions);
    }
  }
  ReleaseUnused(aContext, aNow, aActions);
}

void
domain_owner::SendMemberOrder(const group& aGroup,
                              std::size_t aRank,
                              const owner_context& aContext,
                              time_point aNow,
                              placement_actions& aActions)
{
  tracked_instance* instance = mMembers.Find(aGroup.members[aRank].instance);
  if (instance == nullptr || !CanSendOrder(*instance, aNow)) {
    return;
  }
  const member_state& state = *instance->state;
  const bool ordered = IsAsOrdered(state, aGroup, aRank);
  engine_order order{
    order_kind::load, mTable.token, aGroup.id, aGroup.version,
    aGroup.service,   aGroup.model, aRank,     aGroup.members[aRank].incarnationId,
    aGroup.members
  };
  if (aGroup.state == group_state::draining) {
    if (!ordered || state.state == engine_state::draining) {
      return;
    }
    order.kind = order_kind::drain;
  } else {
    // An order that names what holds already changes nothing, but shuts out former owners.
    const bool isDone = ordered && state.state != engine_state::draining;
    if (isDone && !instance->TakesOrdersBefore(mTable.token)) {
      return;
    }
    const bool adapterOnly = state.group == aGroup.id &&
                             DiffersOnlyInAdapter(state.model, aGroup.model) &&
                             instance->lastOrder != order_kind::adapter;
    order.kind = adapterOnly ? order_kind::adapter : order_kind::load;
  }
  SendOrder(*instance, std::move(order), aContext, aNow, aActions);
}

void
domain_owner::ReleaseUnused(const owner_context& aContext,
                            time_point aNow,
                            placement_actions& aActions)
{
  std::set<instance_id> used;
  for (const group& entry : mTable.groups) {
    for (const group_member& member : entry.members) {
      used.insert(member.instance);
    }
  }
  for (const auto& [id, known] : mMembers.All()) {
    const bool holdsGroup = known.state && !known.state->group.Empty();
    if (!holdsGroup || used.contains(id) || mMembers.IsHeldByOtherDomain(id) ||
        !CanSendOrder(known, aNow)) {
      continue;
    }
    const member_state& state = *known.state;
    engine_order order{ order_kind::release, mTable.token,        state.group,
                        state.version,       state.service,       state.model,
                        state.rank,          state.incarnationId, {} };
    SendOrder(*mMembers.Find(id), std::move(order), aContext, aNow, aActions);
  }
}

void
domain_owner::SendOrder(tracked_instance& aInstance,
                        engine_order aOrder,
                        const owner_context& aContext,
                        time_point aNow,
                        placement_actions& aActions)
{
  aInstance.orderInFlight = true;
  aInstance.lastOrder = aOrder.kind;
  aInstance.nextOrderAt = aNow + kOrderRetryInterval;
  aActions.emplace_back(log_decision{ kOrderSent,
                                      mDomain.value,
                                      aOrder.group.value,
                                      aOrder.service.value,
                                      fmt::format("{} {} generation {}",
                                                  OrderName(aOrder.kind),
                                                  aInstance.listed.id.value,
                                                  aOrder.version.value) });
  aActions.emplace_back(send_order{
    aInstance.listed.id, aInstance.listed.address, std::move(aOrder), aContext.orderDeadline });
}

} // namespace persimmon::placement
