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
  /// Take requests; for the head of a group whose members are ready.
  open,
  /// Take no more requests, finish what runs or waits, and be ready again.
  close,
  /// Be no member any more, at once.
  leave,
  /// Load a model's weights onto the host, beside all other work.
  stage
};

const char*
OrderKindName(order_kind aKind);

/// An order to one engine instance.
struct engine_order
{
  order_kind kind = order_kind::join;
  instance_id instance;
  group_id group;
  generation epoch;
  routes::model_name model;
  /// With join: all members, the head first.
  std::vector<instance_id> members;
  fencing_token token;
};

} // namespace persimmon::assembly
