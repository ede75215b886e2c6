#pragma once

#include "base/ids.h"
#include "document/modelspec.h"
#include "placement/domaintable.h"

#include <string>
#include <vector>

namespace persimmon::placement {

enum class order_kind
{
  /// Sets group, generation, rank and members, and loads the model unless it is resident.
  load,
  /// Empties the instance.
  release,
  /// Refuses new requests and finishes those in flight.
  drain,
  /// Changes adapter and version without a reload of the model.
  adapter
};

/// What a domain's owner tells one instance to be.
struct engine_order
{
  order_kind kind = order_kind::load;
  fencing_token token;
  group_id group;
  generation version;
  service_name service;
  model_spec model;
  std::uint64_t rank = 0;
  /// Life of the instance that the order is meant for.
  incarnation life;
  std::vector<group_member> members;

  bool operator==(const engine_order&) const = default;
};

/// How an order ended, as far as its sender can tell.
enum class order_outcome
{
  accepted,
  /// The engine has seen a higher fencing token.
  stale_token,
  /// The instance has restarted since.
  wrong_incarnation,
  /// Any other refusal.
  refused,
  /// Not sent, since the lease was about to end or no connection was made.
  not_sent,
  /// Sent, but no answer came; it may still take effect.
  unknown
};

const char*
OrderName(order_kind aKind);

const char*
OutcomeName(order_outcome aOutcome);

/// Returns the body of `POST /orders`.
std::string
RenderOrder(const engine_order& aOrder);

/// Turns the status and body of an answer to `POST /orders` into an outcome.
order_outcome
ParseOrderOutcome(int aStatus, std::string_view aBody);

} // namespace persimmon::placement
