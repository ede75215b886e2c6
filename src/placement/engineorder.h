#pragma once

#include "base/ids.h"
#include "document/modelspec.h"
#include "placement/domaintable.h"

#include <string>
#include <vector>

namespace persimmon::placement {

enum class order_kind
{
  /// Assigns group, generation, rank and members, and loads the model unless it is resident.
  load,
  /// Removes the instance from its group.
  release,
  /// Makes the instance refuse new requests and finish those in flight.
  drain,
  /// Changes adapter and generation without reloading the model.
  adapter
};

/// An order from a domain's owner to one instance; the body of `POST /orders`.
struct engine_order
{
  order_kind kind = order_kind::load;
  fencing_token token;
  group_id group;
  generation version;
  service_name service;
  model_spec model;
  std::uint64_t rank = 0;
  /// Incarnation of the instance that the order addresses.
  incarnation incarnationId;
  std::vector<group_member> members;

  bool operator==(const engine_order&) const = default;
};

/// Result of an order as observed by its sender.
enum class order_outcome
{
  accepted,
  /// The engine has seen a higher fencing token.
  stale_token,
  /// The instance has restarted since its incarnation was read.
  wrong_incarnation,
  /// Any other refusal.
  refused,
  /// Not sent: the lease was about to expire or the connection failed.
  not_sent,
  /// Sent without an answer; the order may still take effect.
  unknown
};

const char*
OrderName(order_kind aKind);

const char*
OutcomeName(order_outcome aOutcome);

/// Renders the JSON body of `POST /orders`.
std::string
RenderOrder(const engine_order& aOrder);

/// Converts the status and body of a response to `POST /orders` into an outcome.
order_outcome
ParseOrderOutcome(int aStatus, std::string_view aBody);

} // namespace persimmon::placement
