#include "standins/common/fleetfaults.h"

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

fleet_faults
fleet_faults::Read(json_reader& aReader, json_problem& aProblem)
{
  fleet_faults plan;
  plan.dead = ReadInstances(aReader, "die");
  plan.paused = ReadInstances(aReader, "pause");
  plan.leaving = ReadInstances(aReader, "leave");
  plan.straggle = ReadFactors(aReader, aProblem);
  plan.dark = aReader.FlagOr("dark", false);
  plan.crashMarker = aReader.TextOr("crash_marker", "");
  plan.crashReturn.ms = aReader.NumberOr("crash_return_ms", 0, kLongestReturnMs, 0);
  return plan;
}

std::optional<fleet_faults>
fleet_faults::Parse(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$", aProblem);
  const fleet_faults plan = Read(reader, aProblem);
  return reader.Finish() ? std::optional(plan) : std::nullopt;
}

nlohmann::json
fleet_faults::Render() const
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
fleet_faults::Of(const instance_id& aInstance) const
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
