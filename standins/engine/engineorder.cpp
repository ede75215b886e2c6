#include "standins/engine/engineorder.h"

#include <array>
#include <fmt/format.h>

namespace persimmon::standins {
namespace {

constexpr std::int64_t kLargestRank = 1023;

struct kind_name
{
  order_kind kind;
  const char* name;
};

constexpr std::array kKindNames = {
  kind_name{ order_kind::load, "load" },
  kind_name{ order_kind::release, "release" },
  kind_name{ order_kind::drain, "drain" },
  kind_name{ order_kind::adapter, "adapter" },
};

order_kind
ReadKind(json_reader& aReader)
{
  const std::string name = aReader.Text("order");
  for (const kind_name& entry : kKindNames) {
    if (name == entry.name) {
      return entry.kind;
    }
  }
  aReader.Fail("$.order", '"' + name + '"', "load, release, drain or adapter");
  return order_kind::load;
}

std::uint64_t
ReadCount(json_reader& aReader, const char* aName)
{
  return static_cast<std::uint64_t>(aReader.NumberOr(aName, 0, INT64_MAX, 0));
}

} // namespace

const char*
OrderName(order_kind aKind)
{
  for (const kind_name& entry : kKindNames) {
    if (entry.kind == aKind) {
      return entry.name;
    }
  }
  return "unknown";
}

std::optional<engine_order>
ParseOrder(std::string_view aText, json_problem& aProblem)
{
  const auto value = ParseJson(aText, aProblem);
  if (!value) {
    return std::nullopt;
  }
  json_reader reader(*value, "$", aProblem);
  reader.AllowUnknown();
  engine_order order;
  order.kind = ReadKind(reader);
  order.token.value = ReadCount(reader, "token");
  order.group.value = reader.TextOr("group", "");
  order.version.value = ReadCount(reader, "generation");
  order.service.value = reader.TextOr("service", "");
  order.model = reader.TextOr("model", "");
  order.adapter = reader.TextOr("adapter", "");
  order.modelVersion = reader.TextOr("version", "");
  order.rank = static_cast<std::uint32_t>(reader.NumberOr("rank", 0, kLargestRank, 0));
  order.life.value = ReadCount(reader, "incarnation");
  std::size_t index = 0;
  for (const nlohmann::json& entry : reader.List("members")) {
    json_reader member(entry, fmt::format("$.members[{}]", index++), aProblem);
    member.AllowUnknown();
    order.members.push_back({ { member.Text("instance") },
                              { member.Text("address") },
                              { ReadCount(member, "incarnation") } });
  }
  return reader.Finish() ? std::optional(order) : std::nullopt;
}

} // namespace persimmon::standins
