#include "placement/placementplan.h"

#include "base/json.h"

#include <algorithm>

namespace persimmon::placement {
namespace {

std::uint64_t
ReadCount(json_reader& aReader, const char* aName)
{
  return static_cast<std::uint64_t>(aReader.Number(aName, 0, INT64_MAX));
}

std::vector<group_id>
ReadGroups(json_reader& aReader, const char* aName)
{
  std::vector<group_id> groups;
  for (const nlohmann::json& value : aReader.List(aName)) {
    if (value.is_string()) {
      groups.push_back({ value.get<std::string>() });
    } else {
      aReader.Fail(aReader.PathOf(aName), value.dump(), "a list of texts");
    }
  }
  return groups;
}

nlohmann::json
ToJson(const std::vector<group_id>& aGroups)
{
  nlohmann::json list = nlohmann::json::array();
  for (const group_id& id : aGroups) {
    list.push_back(id.value);
  }
  return list;
}

service_share
ReadShare(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$.shares", aProblem);
  reader.AllowUnknown();
  service_share share;
  share.service.value = reader.Text("service");
  share.domain.value = reader.Text("domain");
  share.groups = ReadCount(reader, "groups");
  return share;
}

unmet_service
ReadUnmet(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$.unmet", aProblem);
  reader.AllowUnknown();
  unmet_service unmet;
  unmet.service.value = reader.Text("service");
  unmet.wanted = ReadCount(reader, "wanted");
  unmet.placed = ReadCount(reader, "placed");
  unmet.why = reader.TextOr("why", "");
  return unmet;
}

} // namespace

std::string
RenderPlan(const placement_plan& aPlan)
{
  nlohmann::json value = {
    { "planner", aPlan.planner.value }, { "shares", nlohmann::json::array() },
    { "stops", ToJson(aPlan.stops) },   { "loads", ToJson(aPlan.loads) },
    { "moves", ToJson(aPlan.moves) },   { "unmet", nlohmann::json::array() }
  };
  for (const service_share& share : aPlan.shares) {
    value["shares"].push_back({ { "service", share.service.value },
                                { "domain", share.domain.value },
                                { "groups", share.groups } });
  }
  for (const unmet_service& unmet : aPlan.unmet) {
    value["unmet"].push_back({ { "service", unmet.service.value },
                               { "wanted", unmet.wanted },
                               { "placed", unmet.placed },
                               { "why", unmet.why } });
  }
  return value.dump();
}

std::optional<placement_plan>
ParsePlan(std::string_view aText, std::string& aProblem)
{
  json_problem problem;
  const auto value = ParseJson(aText, problem);
  if (!value) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  json_reader reader(*value, "$", problem);
  reader.AllowUnknown();
  placement_plan plan;
  plan.planner.value = reader.TextOr("planner", "");
  for (const nlohmann::json& share : reader.List("shares")) {
    plan.shares.push_back(ReadShare(share, problem));
  }
  plan.stops = ReadGroups(reader, "stops");
  plan.loads = ReadGroups(reader, "loads");
  plan.moves = ReadGroups(reader, "moves");
  for (const nlohmann::json& unmet : reader.List("unmet")) {
    plan.unmet.push_back(ReadUnmet(unmet, problem));
  }
  if (!reader.Finish()) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  return plan;
}

std::uint64_t
ShareOf(const placement_plan& aPlan, const service_name& aService, const domain_id& aDomain)
{
  for (const service_share& share : aPlan.shares) {
    if (share.service == aService && share.domain == aDomain) {
      return share.groups;
    }
  }
  return 0;
}

bool
ContainsGroup(const std::vector<group_id>& aGroups, const group_id& aGroup)
{
  return std::find(aGroups.begin(), aGroups.end(), aGroup) != aGroups.end();
}

} // namespace persimmon::placement
