#include "assembly/internal/grouporders.h"
#include "assembly/groupcontroller.h"

#include <algorithm>

// Orders to instances, and what their outcomes tell.

namespace persimmon::assembly {

bool
group_controller::MaySendOrder(const instance_id& aInstance, order_kind aKind) const
{
  const auto found = mInstanceStates.find(aInstance);
  if (found == mInstanceStates.end() || found->second.mustReportOrders) {
    return false;
  }
  // These name a group and an epoch that no later order uses, so that they end nothing else.
  if (aKind == order_kind::close || aKind == order_kind::leave) {
    return true;
  }
  // Of two orders that name the same number, the instance accepts the first that it gets.
  const auto& accepted = found->second.acceptedOrders;
  return accepted &&
         std::none_of(mPendingOrders.begin(), mPendingOrders.end(), [&](const auto& aEntry) {
           const engine_order& pending = aEntry.second.order;
           return pending.instance == aInstance && pending.kind != aKind &&
                  pending.expectedOrders == accepted;
         });
}

bool
group_controller::SendOrder(engine_order aOrder, time_point aNow, actions& aActions)
{
  if (!MaySendOrder(aOrder.instance, aOrder.kind)) {
    return false;
  }
  instance_state& state = mInstanceStates.at(aOrder.instance);
  const order_id id{ ++mLastOrderId };
  aOrder.token = mToken;
  aOrder.incarnationId = state.incarnationId;
  aOrder.expectedOrders = state.acceptedOrders;
  mPendingOrders[id] = { aOrder, aNow, EndsMembership(aOrder, state) };
  if (aOrder.kind == order_kind::leave) {
    state.leaveOrderedEpoch = aOrder.epoch;
    state.leaveSentAt = aNow;
  }
  aActions.push_back(send_order{ id, state.address, std::move(aOrder) });
  return true;
}

bool
group_controller::EndsMembership(const engine_order& aOrder, const instance_state& aState)
{
  const auto membership = aState.report ? aState.report->membership : std::nullopt;
  return aOrder.kind == order_kind::leave && aState.leaveOrderedEpoch != aOrder.epoch &&
         membership && membership->group == aOrder.group && membership->epoch == aOrder.epoch;
}

void
group_controller::RecordAcceptance(const pending_order& aPending,
                                   order_outcome aOutcome,
                                   instance_state& aState)
{
  const engine_order& order = aPending.order;
  if (order.incarnationId != aState.incarnationId) {
    return;
  }
  // Leaving takes effect at once, so that it is done and has counted; otherwise what is done was so
  // before and has not.
  const bool hasCounted = aOutcome == order_outcome::begun ||
                          (aOutcome == order_outcome::done && aPending.endsMembership);
  if (hasCounted && order.expectedOrders) {
    const std::uint64_t count = *order.expectedOrders + 1;
    const bool keepsOutside =
      order.kind == order_kind::stage && aState.ordersWithoutGroup == order.expectedOrders;
    if (order.kind == order_kind::leave || keepsOutside) {
      aState.ordersWithoutGroup = count;
    }
    aState.acceptedOrders = std::max(aState.acceptedOrders.value_or(0), count);
  }
  aState.mustReportOrders = aState.mustReportOrders || aOutcome == order_outcome::conflict;
}

void
group_controller::HandleOrderOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow)
{
  const auto pending = mPendingOrders.find(aOrder);
  if (pending == mPendingOrders.end()) {
    return;
  }
  const pending_order answered = pending->second;
  const engine_order& order = answered.order;
  mPendingOrders.erase(pending);
  const auto found = mInstanceStates.find(order.instance);
  if (found != mInstanceStates.end()) {
    RecordAcceptance(answered, aOutcome, found->second);
    found->second.nextProbeAt =
      std::min(found->second.nextProbeAt, aNow + mOptions.formingProbeInterval);
    if (order.kind == order_kind::stage && !IsSuccess(aOutcome)) {
      found->second.stagingModel = {};
      found->second.ineligibleUntil = aNow + mOptions.orderRetryInterval;
    }
  }
  managed_group* group = FindGroup(order.group, order.epoch);
  if (group == nullptr || group->members.empty()) {
    return;
  }
  if (order.kind == order_kind::open && IsSuccess(aOutcome)) {
    group->isOpenAccepted = true;
  }
  for (managed_member& member : group->members) {
    if (member.instance != order.instance) {
      continue;
    }
    if (order.kind == order_kind::join && IsSuccess(aOutcome)) {
      member.joinAccepted = true;
      member.isConfirmed = true;
    }
    if (order.kind == order_kind::leave && IsSuccess(aOutcome)) {
      member.hasLeft = true;
    }
  }
}

} // namespace persimmon::assembly
