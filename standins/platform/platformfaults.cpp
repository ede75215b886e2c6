#include "standins/platform/platformfaults.h"

namespace persimmon::standins {
namespace {

constexpr std::int64_t kLongestSlowMs = 600000;
constexpr std::int64_t kMostCalls = 1000000;
constexpr std::int64_t kAllPercent = 100;

} // namespace

std::optional<platform_faults>
platform_faults::Parse(const nlohmann::json& aValue, json_problem& aProblem)
{
  json_reader reader(aValue, "$", aProblem);
  platform_faults plan;
  plan.down = reader.FlagOr("down", false);
  plan.slow.ms = reader.NumberOr("slow_ms", 0, kLongestSlowMs, 0);
  plan.loseReplyPercent = reader.NumberOr("lose_reply_percent", 0, kAllPercent, 0);
  plan.callsPerSecond =
    static_cast<std::uint64_t>(reader.NumberOr("calls_per_second", 0, kMostCalls, 0));
  plan.stallWatch = reader.FlagOr("stall_watch", false);
  return reader.Finish() ? std::optional(plan) : std::nullopt;
}

nlohmann::json
platform_faults::Render() const
{
  return { { "down", down },
           { "slow_ms", slow.ms },
           { "lose_reply_percent", loseReplyPercent },
           { "calls_per_second", callsPerSecond },
           { "stall_watch", stallWatch } };
}

} // namespace persimmon::standins
