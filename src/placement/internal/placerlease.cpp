#include "placement/placerlease.h"

#include "base/json.h"

namespace persimmon::placement {
namespace {

constexpr std::int64_t kLongestLeaseMs = 3'600'000;

} // namespace

std::string
RenderLease(const placer_lease& aLease)
{
  return nlohmann::json{
    { "placer", aLease.placer.value },
    { "length_ms", aLease.length.ms },
    { "renewals", aLease.renewals }
  }.dump();
}

std::optional<placer_lease>
ParseLease(std::string_view aText)
{
  json_problem problem;
  const auto value = ParseJson(aText, problem);
  if (!value) {
    return std::nullopt;
  }
  json_reader reader(*value, "$", problem);
  reader.AllowUnknown();
  placer_lease lease;
  lease.placer.value = reader.Text("placer");
  lease.length.ms = reader.Number("length_ms", 1, kLongestLeaseMs);
  lease.renewals = static_cast<std::uint64_t>(reader.Number("renewals", 0, INT64_MAX));
  return reader.Finish() ? std::optional(lease) : std::nullopt;
}

} // namespace persimmon::placement
