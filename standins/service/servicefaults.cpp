#include "standins/service/servicefaults.h"

namespace persimmon::standins {
namespace {

constexpr std::int64_t kLongestSlowMs = 600000;
constexpr std::int64_t kAllPercent = 100;

} // namespace

std::optional<service_faults>
service_faults::Parse(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$", aProblem);
  service_faults plan;
  static_cast<fleet_faults&>(plan) = fleet_faults::Read(reader, aProblem);
  plan.slow.ms = reader.NumberOr("slow_ms", 0, kLongestSlowMs, 0);
  plan.dropBeforePercent = reader.NumberOr("drop_before_percent", 0, kAllPercent, 0);
  plan.dropAfterPercent = reader.NumberOr("drop_after_percent", 0, kAllPercent, 0);
  return reader.Finish() ? std::optional(plan) : std::nullopt;
}

nlohmann::json
service_faults::Render() const
{
  nlohmann::json plan = fleet_faults::Render();
  plan["slow_ms"] = slow.ms;
  plan["drop_before_percent"] = dropBeforePercent;
  plan["drop_after_percent"] = dropAfterPercent;
  return plan;
}

} // namespace persimmon::standins
