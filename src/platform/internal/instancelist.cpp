#include "platform/instancelist.h"

#include <fmt/format.h>

namespace persimmon::platform {

std::optional<std::vector<listed_instance>>
ParseInstanceList(std::string_view aText, json_problem& aProblem)
{
  const auto value = ParseJson(aText, aProblem);
  if (!value) {
    return std::nullopt;
  }
  json_reader listReader(*value, "$", aProblem);
  listReader.AllowUnknown();
  std::vector<listed_instance> instances;
  std::size_t index = 0;
  for (const nlohmann::json& entry : listReader.List("instances")) {
    json_reader reader(entry, fmt::format("$.instances[{}]", index++), aProblem);
    reader.AllowUnknown();
    listed_instance instance;
    instance.id.value = reader.Text("id");
    instance.address.value = reader.Text("address");
    instance.zone.value = reader.TextOr("zone", "");
    instance.domain.value = reader.TextOr("domain", "");
    instance.incarnation.value =
      static_cast<std::uint64_t>(reader.Number("incarnation", 0, INT64_MAX));
    instance.leaving = reader.FlagOr("leaving", false);
    instance.checksFencingTokens = reader.FlagOr("fencing", true);
    instance.service.value = reader.TextOr("service", "");
    instance.isInternal = reader.FlagOr("entry", false);
    instances.push_back(std::move(instance));
  }
  if (!listReader.Finish()) {
    return std::nullopt;
  }
  return instances;
}

std::string
RenderInstanceList(const std::vector<listed_instance>& aInstances)
{
  nlohmann::json list = nlohmann::json::array();
  for (const listed_instance& instance : aInstances) {
    list.push_back({ { "id", instance.id.value },
                     { "address", instance.address.value },
                     { "zone", instance.zone.value },
                     { "domain", instance.domain.value },
                     { "incarnation", instance.incarnation.value },
                     { "leaving", instance.leaving },
                     { "fencing", instance.checksFencingTokens },
                     { "service", instance.service.value },
                     { "entry", instance.isInternal } });
  }
  return nlohmann::json{ { "instances", std::move(list) } }.dump();
}

} // namespace persimmon::platform
