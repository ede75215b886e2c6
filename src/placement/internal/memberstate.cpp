#include "placement/memberstate.h"

#include "base/json.h"

#include <algorithm>
#include <array>

namespace persimmon::placement {
namespace {

constexpr std::array kStates = { engine_state::idle,
                                 engine_state::loading,
                                 engine_state::ready,
                                 engine_state::draining };

std::uint64_t
ReadCount(json_reader& aReader, const char* aName)
{
  return static_cast<std::uint64_t>(aReader.NumberOr(aName, 0, INT64_MAX, 0));
}

engine_state
ReadState(json_reader& aReader)
{
  const std::string name = aReader.Text("state");
  for (const engine_state state : kStates) {
    if (name == EngineStateName(state)) {
      return state;
    }
  }
  aReader.Fail(aReader.PathOf("state"), '"' + name + '"', "idle, loading, ready or draining");
  return engine_state::idle;
}

member_observation
ReadObservation(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$.members", aProblem);
  reader.AllowUnknown();
  member_observation member;
  member.instance.value = reader.Text("instance");
  member.incarnationId.value = ReadCount(reader, "incarnation");
  member.sinceLastMessage.ms = reader.NumberOr("heard_ms", 0, INT64_MAX, 0);
  member.version.value = ReadCount(reader, "generation");
  member.state = ReadState(reader);
  member.stepTime.ms = reader.NumberOr("step_ms", 0, INT64_MAX, 0);
  return member;
}

} // namespace

const char*
EngineStateName(engine_state aState)
{
  switch (aState) {
    case engine_state::idle:
      return "idle";
    case engine_state::loading:
      return "loading";
    case engine_state::ready:
      return "ready";
    case engine_state::draining:
      return "draining";
  }
  return "unknown";
}

std::string
WeightsName(const model_spec& aModel)
{
  return aModel.model + "@" + aModel.version;
}

bool
IsResident(const member_state& aState, const model_spec& aModel)
{
  const std::string name = WeightsName(aModel);
  return std::find(aState.resident.begin(), aState.resident.end(), name) != aState.resident.end();
}

std::optional<member_state>
ParseMemberState(std::string_view aText, std::string& aProblem)
{
  json_problem problem;
  const auto value = ParseJson(aText, problem);
  if (!value) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  json_reader reader(*value, "$", problem);
  reader.AllowUnknown();
  member_state parsed;
  parsed.instance.value = reader.Text("instance");
  parsed.incarnationId.value = ReadCount(reader, "incarnation");
  parsed.state = ReadState(reader);
  parsed.token.value = ReadCount(reader, "token");
  parsed.fencing = reader.FlagOr("fencing", true);
  parsed.group.value = reader.TextOr("group", "");
  parsed.version.value = ReadCount(reader, "generation");
  parsed.service.value = reader.TextOr("service", "");
  parsed.model.model = reader.TextOr("model", "");
  parsed.model.adapter = reader.TextOr("adapter", "");
  parsed.model.version = reader.TextOr("version", "");
  parsed.rank = ReadCount(reader, "rank");
  parsed.size = ReadCount(reader, "size");
  parsed.inFlight = ReadCount(reader, "in_flight");
  for (const nlohmann::json& member : reader.List("members")) {
    parsed.members.push_back(ReadObservation(member, problem));
  }
  for (const nlohmann::json& weights : reader.List("resident")) {
    if (weights.is_string()) {
      parsed.resident.push_back(weights.get<std::string>());
    } else {
      reader.Fail("$.resident", weights.dump(), "a list of texts");
    }
  }
  if (!reader.Finish()) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  return parsed;
}

} // namespace persimmon::placement
