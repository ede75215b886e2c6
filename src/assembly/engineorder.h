#pragma once

#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::assembly {

enum class order_kind
{
  /// Become a member of a group.
  join,
  /// Accept requests; sent to the head of a group whose members are ready.
  open,
  /// Accept no more requests, finish those that are running or queued, and become ready again.
  close,
  /// Stop being a member immediately.
  leave,
  /// Load the weights of a model onto the host, in parallel with all other work.
  stage
};

/// Returns the name of an order kind as it appears on the wire, in logs and in metrics.
const char*
OrderKindName(order_kind aKind);

/// An order to one engine instance.
struct engine_order
{
  order_kind kind = order_kind::join;
  instance_id instance;
  /// Group and epoch; empty and 0 for a stage order.
  group_id group;
  generation epoch;
  /// Model to load, for join and stage orders.
  routes::model_name model;
  /// All members of the group, head first; only for join orders.
  std::vector<instance_id> members;
  /// Token of the leader that sent the order.
  fencing_token token;
  /// Incarnation of the instance for which the order was decided.
  incarnation incarnationId;
  /// Number of orders that the instance had accepted when the order was decided; the instance
  /// rejects the order once it has accepted another one. Empty when it is not known.
  std::optional<std::uint64_t> expectedOrders;
};

} // namespace persimmon::assembly
