#pragma once

#include "assembly/engineorder.h"
#include "assembly/managedgroup.h"
#include "assembly/orderoutcome.h"
#include "base/clock.h"

#include <optional>

namespace persimmon::assembly {

/// Returns true when an action that was last performed at aLast, or never, is due again.
inline bool
IsDue(const std::optional<time_point>& aLast, duration aInterval, time_point aNow)
{
  return !aLast || aNow - *aLast >= aInterval;
}

/// Returns true when the instance executes the order or is already in the requested state.
inline bool
IsSuccess(order_outcome aOutcome)
{
  return aOutcome == order_outcome::begun || aOutcome == order_outcome::done;
}

/// Returns an order about a group to one of its members.
inline engine_order
MakeOrder(const group_id& aGroup, generation aEpoch, const instance_id& aMember, order_kind aKind)
{
  engine_order order;
  order.kind = aKind;
  order.instance = aMember;
  order.group = aGroup;
  order.epoch = aEpoch;
  return order;
}

/// The same for a managed group.
inline engine_order
MakeOrder(const managed_group& aGroup, const instance_id& aMember, order_kind aKind)
{
  return MakeOrder(aGroup.id, aGroup.epoch, aMember, aKind);
}

} // namespace persimmon::assembly
