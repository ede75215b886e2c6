#pragma once

#include "base/ids.h"
#include "base/json.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::standins {

enum class order_kind
{
  load,
  release,
  drain,
  adapter
};

struct order_member
{
  instance_id instance;
  endpoint address;
  incarnation life;

  bool operator==(const order_member&) const = default;
};

/// An order to an engine instance, as PROTOCOLS.md gives it.
struct engine_order
{
  order_kind kind = order_kind::load;
  fencing_token token;
  group_id group;
  generation version;
  service_name service;
  std::string model;
  std::string adapter;
  std::string modelVersion;
  std::uint32_t rank = 0;
  incarnation life;
  std::vector<order_member> members;
};

/// Name of a kind as orders write it.
const char*
OrderName(order_kind aKind);

/// Parses the body of `POST /orders`.
std::optional<engine_order>
ParseOrder(std::string_view aText, json_problem& aProblem);

} // namespace persimmon::standins
