#include "placement/engineorder.h"

#include "base/json.h"

namespace persimmon::placement {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

} // namespace

const char*
OrderName(order_kind aKind)
{
  switch (aKind) {
    case order_kind::load:
      return "load";
    case order_kind::release:
      return "release";
    case order_kind::drain:
      return "drain";
    case order_kind::adapter:
      return "adapter";
  }
  return "unknown";
}

const char*
OutcomeName(order_outcome aOutcome)
{
  switch (aOutcome) {
    case order_outcome::accepted:
      return "accepted";
    case order_outcome::stale_token:
      return "stale_token";
    case order_outcome::wrong_incarnation:
      return "wrong_incarnation";
    case order_outcome::refused:
      return "refused";
    case order_outcome::not_sent:
      return "not_sent";
    case order_outcome::unknown:
      return "unknown";
  }
  return "unknown";
}

std::string
RenderOrder(const engine_order& aOrder)
{
  nlohmann::json value = { { "order", OrderName(aOrder.kind) },
                           { "token", aOrder.token.value },
                           { "group", aOrder.group.value },
                           { "generation", aOrder.version.value },
                           { "service", aOrder.service.value },
                           { "model", aOrder.model.model },
                           { "adapter", aOrder.model.adapter },
                           { "version", aOrder.model.version },
                           { "rank", aOrder.rank },
                           { "incarnation", aOrder.incarnationId.value } };
  value["members"] = nlohmann::json::array();
  for (const group_member& member : aOrder.members) {
    value["members"].push_back({ { "instance", member.instance.value },
                                 { "address", member.address.value },
                                 { "incarnation", member.incarnationId.value } });
  }
  return value.dump();
}

order_outcome
ParseOrderOutcome(int aStatus, std::string_view aBody)
{
  if (aStatus == kOk) {
    return order_outcome::accepted;
  }
  if (aStatus != kConflict) {
    return order_outcome::refused;
  }
  json_problem problem;
  const auto value = ParseJson(aBody, problem);
  if (!value || !value->is_object()) {
    return order_outcome::refused;
  }
  json_reader reader(*value, "$", problem);
  const std::string why = reader.TextOr("reason", "");
  if (why == "stale_token") {
    return order_outcome::stale_token;
  }
  return why == "wrong_incarnation" ? order_outcome::wrong_incarnation : order_outcome::refused;
}

} // namespace persimmon::placement
