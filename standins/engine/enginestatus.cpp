#include "standins/engine/enginestatus.h"

#include "base/json.h"

namespace persimmon::standins {
namespace {

nlohmann::json
RenderMembers(const std::vector<member_status>& aMembers)
{
  nlohmann::json list = nlohmann::json::array();
  for (const member_status& member : aMembers) {
    list.push_back({ { "instance", member.instance.value },
                     { "incarnation", member.life.value },
                     { "heard_ms", member.heardAgo.ms },
                     { "generation", member.version.value },
                     { "state", StateName(member.state) } });
  }
  return list;
}

} // namespace

std::string
RenderStatus(const engine_status& aStatus)
{
  nlohmann::json body = { { "instance", aStatus.instance.value },
                          { "incarnation", aStatus.life.value },
                          { "state", StateName(aStatus.state) },
                          { "token", aStatus.token.value },
                          { "fencing", aStatus.fencing },
                          { "group", aStatus.group.value },
                          { "generation", aStatus.version.value },
                          { "service", aStatus.service.value },
                          { "model", aStatus.model },
                          { "adapter", aStatus.adapter },
                          { "version", aStatus.modelVersion },
                          { "rank", aStatus.rank },
                          { "size", aStatus.size },
                          { "resident", aStatus.resident },
                          { "in_flight", aStatus.inFlight },
                          { "running", aStatus.load.running },
                          { "queued", aStatus.load.queued },
                          { "load_age_ms", aStatus.loadAge.ms } };
  if (!aStatus.members.empty()) {
    body["members"] = RenderMembers(aStatus.members);
  }
  return body.dump();
}

std::optional<member_report>
ParseMemberReport(std::string_view aText, time_point aHeardAt)
{
  json_problem problem;
  const auto body = ParseJson(aText, problem);
  if (!body) {
    return std::nullopt;
  }
  json_reader reader(*body, "$", problem);
  reader.AllowUnknown();
  member_report report;
  report.instance.value = reader.Text("instance");
  report.life.value = static_cast<std::uint64_t>(reader.Number("incarnation", 0, INT64_MAX));
  report.group.value = reader.TextOr("group", "");
  report.version.value = static_cast<std::uint64_t>(reader.NumberOr("generation", 0, INT64_MAX, 0));
  const auto state = ParseState(reader.Text("state"));
  report.heardAt = aHeardAt;
  if (!reader.Finish() || !state) {
    return std::nullopt;
  }
  report.state = *state;
  return report;
}

} // namespace persimmon::standins
