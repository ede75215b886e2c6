#include "standins/engine/enginefaults.h"

namespace persimmon::standins {
namespace {

constexpr std::int64_t kSlowestFactor = 10000;
constexpr std::int64_t kLongestReturnMs = 600000;

std::set<instance_id>
ReadInstances(json_reader& aReader, const char* aName)
{
  std::set<instance_id> instances;
  for (const nlohmann::json& entry : aReader.List(aName)) {
    if (entry.is_string()) {
      instances.insert({ entry.get<std::string>() });
    } else {
      aReader.Fail(aReader.PathOf(aName), entry.dump(), "a list of instances");
    }
  }
  return instances;
}

std::map<instance_id, std::int64_t>
ReadFactors(json_reader& aReader, json_problem& aProblem)
{
  std::map<instance_id, std::int64_t> factors;
  const nlohmann::json* value = aReader.Member("straggle", false);
  if (value == nullptr) {
    return factors;
  }
  json_reader reader(*value, aReader.PathOf("straggle"), aProblem);
  if (value->is_object()) {
    for (const auto& [instance, factor] : value->items()) {
      factors[{ instance }] = reader.Number(instance.c_str(), 1, kSlowestFactor);
    }
  }
  return factors;
}

nlohmann::json
RenderInstances(const std::set<instance_id>& aInstances)
{
  nlohmann::json list = nlohmann::json::array();
  for (const instance_id& instance : aInstances) {
    list.push_back(instance.value);
  }
  return list;
}

} // namespace

std::optional<engine_faults>
engine_faults::Parse(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$", aProblem);
  engine_faults plan;
  plan.dead = ReadInstances(reader, "die");
  plan.paused = ReadInstances(reader, "pause");
  plan.leaving = ReadInstances(reader, "leave");
  plan.straggle = ReadFactors(reader, aProblem);
  plan.dark = reader.FlagOr("dark", false);
  plan.crashMarker = reader.TextOr("crash_marker", "");
  plan.crashReturn.ms = reader.NumberOr("crash_return_ms", 0, kLongestReturnMs, 0);
  return reader.Finish() ? std::optional(plan) : std::nullopt;
}

nlohmann::json
engine_faults::Render() const
{
  nlohmann::json factors = nlohmann::json::object();
  for (const auto& [instance, factor] : straggle) {
    factors[instance.value] = factor;
  }
  return { { "die", RenderInstances(dead) },
           { "pause", RenderInstances(paused) },
           { "leave", RenderInstances(leaving) },
           { "straggle", factors },
           { "dark", dark },
           { "crash_marker", crashMarker },
           { "crash_return_ms", crashReturn.ms } };
}

instance_faults
engine_faults::Of(const instance_id& aInstance) const
{
  const auto factor = straggle.find(aInstance);
  return { dark || dead.contains(aInstance),
           paused.contains(aInstance),
           leaving.contains(aInstance),
           factor == straggle.end() ? 1 : factor->second,
           crashMarker,
           crashReturn };
}

} // namespace persimmon::standins
