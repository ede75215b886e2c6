#include "ctl/routerstatus.h"

#include <fmt/format.h>

namespace persimmon::ctl {

std::optional<router_status>
ParseRouterStatus(std::string_view aText, json_problem& aProblem)
{
  const auto value = ParseJson(aText, aProblem);
  if (!value) {
    return std::nullopt;
  }
  json_reader reader(*value, "$", aProblem);
  reader.AllowUnknown();
  router_status status;
  status.router.value = reader.Text("router");
  status.zone.value = reader.TextOr("zone", "");
  status.ready = reader.FlagOr("ready", false);
  for (const nlohmann::json& entry : reader.List("documents")) {
    json_reader document(entry, "$.documents", aProblem);
    document.AllowUnknown();
    const service_name service{ document.Text("service") };
    status.documents[service].value =
      static_cast<std::uint64_t>(document.Number("revision", 0, INT64_MAX));
  }
  if (!reader.Finish()) {
    return std::nullopt;
  }
  return status;
}

in_force
CountInForce(const std::vector<asked_router>& aRouters,
             const service_name& aService,
             revision aVersion)
{
  in_force count;
  count.total = aRouters.size();
  for (const asked_router& router : aRouters) {
    if (!router.status) {
      count.laggards.push_back(router.address + " (no answer)");
      continue;
    }
    const auto found = router.status->documents.find(aService);
    if (found != router.status->documents.end() && found->second >= aVersion) {
      ++count.applied;
    } else {
      count.laggards.push_back(router.address);
    }
  }
  return count;
}

std::string
RenderInForce(const in_force& aCount)
{
  std::string line = fmt::format("in force on {} of {}", aCount.applied, aCount.total);
  if (!aCount.laggards.empty()) {
    line += fmt::format("; lagging: {}", fmt::join(aCount.laggards, ", "));
  }
  return line;
}

} // namespace persimmon::ctl
