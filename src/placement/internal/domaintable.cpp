#include "placement/domaintable.h"

#include "base/json.h"

#include <array>
#include <fmt/format.h>
#include <set>

namespace persimmon::placement {
namespace {

constexpr std::int64_t kMaxCounter = INT64_MAX;
constexpr std::array kStates = { group_state::forming,
                                 group_state::loading,
                                 group_state::serving,
                                 group_state::draining };

group_state
ReadState(json_reader& aReader)
{
  const std::string name = aReader.Text("state");
  for (const group_state state : kStates) {
    if (name == StateName(state)) {
      return state;
    }
  }
  aReader.Fail(aReader.PathOf("state"), '"' + name + '"', "forming, loading, serving or draining");
  return group_state::forming;
}

group_member
ReadMember(const nlohmann::json& aValue, std::string aPath, json_problem& aProblem)
{
  json_reader reader(aValue, std::move(aPath), aProblem);
  reader.AllowUnknown();
  group_member member;
  member.instance.value = reader.Text("instance");
  member.address.value = reader.Text("address");
  member.incarnationId.value =
    static_cast<std::uint64_t>(reader.Number("incarnation", 0, kMaxCounter));
  return member;
}

group
ReadGroup(const nlohmann::json& aValue, const std::string& aPath, json_problem& aProblem)
{
  json_reader reader(aValue, aPath, aProblem);
  reader.AllowUnknown();
  group result;
  result.id.value = reader.Text("id");
  result.service.value = reader.Text("service");
  result.model.model = reader.Text("model");
  result.model.adapter = reader.TextOr("adapter", "");
  result.model.version = reader.Text("version");
  result.state = ReadState(reader);
  result.version.value = static_cast<std::uint64_t>(reader.Number("generation", 0, kMaxCounter));
  result.zone.value = reader.TextOr("zone", "");
  result.loads = static_cast<std::uint64_t>(reader.NumberOr("loads", 0, kMaxCounter, 0));
  std::size_t index = 0;
  for (const nlohmann::json& value : reader.List("members")) {
    result.members.push_back(
      ReadMember(value, fmt::format("{}.members[{}]", aPath, index++), aProblem));
  }
  return result;
}

nlohmann::json
ToJson(const group& aGroup)
{
  nlohmann::json value = { { "id", aGroup.id.value },
                           { "service", aGroup.service.value },
                           { "model", aGroup.model.model },
                           { "adapter", aGroup.model.adapter },
                           { "version", aGroup.model.version },
                           { "state", StateName(aGroup.state) },
                           { "generation", aGroup.version.value },
                           { "zone", aGroup.zone.value } };
  if (aGroup.loads != 0) {
    value["loads"] = aGroup.loads;
  }
  value["members"] = nlohmann::json::array();
  for (const group_member& member : aGroup.members) {
    value["members"].push_back({ { "instance", member.instance.value },
                                 { "address", member.address.value },
                                 { "incarnation", member.incarnationId.value } });
  }
  return value;
}

} // namespace

const char*
StateName(group_state aState)
{
  switch (aState) {
    case group_state::forming:
      return "forming";
    case group_state::loading:
      return "loading";
    case group_state::serving:
      return "serving";
    case group_state::draining:
      return "draining";
  }
  return "unknown";
}

std::optional<instance_id>
FindSharedInstance(const domain_table& aTable)
{
  std::set<instance_id> seen;
  for (const group& entry : aTable.groups) {
    for (const group_member& member : entry.members) {
      if (!seen.insert(member.instance).second) {
        return member.instance;
      }
    }
  }
  return std::nullopt;
}

std::optional<domain_table>
ParseDomainTable(std::string_view aText, table_reason& aReason)
{
  json_problem problem;
  const auto value = ParseJson(aText, problem);
  if (!value) {
    aReason = { table_error::not_json, problem.Text() };
    return std::nullopt;
  }
  json_reader reader(*value, "$", problem);
  reader.AllowUnknown();
  domain_table table;
  table.domain.value = reader.Text("domain");
  table.owner.value = reader.TextOr("owner", "");
  table.token.value = static_cast<std::uint64_t>(reader.Number("token", 0, kMaxCounter));
  table.lastWrite.value = reader.TextOr("last_write", "");
  std::size_t index = 0;
  for (const nlohmann::json& entry : reader.List("groups")) {
    table.groups.push_back(ReadGroup(entry, fmt::format("$.groups[{}]", index++), problem));
  }
  for (const nlohmann::json& entry : reader.List("absent")) {
    if (entry.is_string()) {
      table.absent.push_back({ entry.get<std::string>() });
    } else {
      reader.Fail("$.absent", entry.dump(), "a list of texts");
    }
  }
  if (!reader.Finish()) {
    aReason = { table_error::bad_member, problem.Text() };
    return std::nullopt;
  }
  if (const auto shared = FindSharedInstance(table)) {
    aReason = { table_error::instance_in_two_groups,
                "instance " + shared->value + " occurs twice" };
    return std::nullopt;
  }
  return table;
}

std::string
RenderDomainTable(const domain_table& aTable)
{
  nlohmann::json value = { { "domain", aTable.domain.value },
                           { "owner", aTable.owner.value },
                           { "token", aTable.token.value },
                           { "last_write", aTable.lastWrite.value } };
  value["groups"] = nlohmann::json::array();
  for (const group& entry : aTable.groups) {
    value["groups"].push_back(ToJson(entry));
  }
  for (const instance_id& instance : aTable.absent) {
    value["absent"].push_back(instance.value);
  }
  return value.dump();
}

} // namespace persimmon::placement
