#include "standins/platform/platformapi.h"

#include "base/json.h"

#include <charconv>

namespace persimmon::standins {
namespace {

constexpr std::string_view kObjectsPrefix = "/objects/";

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    parts.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

} // namespace

std::optional<platform::object_key>
ParseObjectPath(const std::string& aPath)
{
  if (!aPath.starts_with(kObjectsPrefix)) {
    return std::nullopt;
  }
  const std::string rest = aPath.substr(kObjectsPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  if (slash == 0) {
    return std::nullopt;
  }
  return platform::object_key{ rest.substr(0, slash),
                               rest.substr(std::min(slash + 1, rest.size())) };
}

std::optional<revision>
ParseEntityTag(const std::string& aTag)
{
  if (aTag.size() < 3 || aTag.front() != '"' || aTag.back() != '"') {
    return std::nullopt;
  }
  const auto number = ParseNumber(std::string_view(aTag).substr(1, aTag.size() - 2));
  return number ? std::optional(revision{ *number }) : std::nullopt;
}

std::optional<platform::write_condition>
ParseCondition(const entry::server_request& aRequest)
{
  if (aRequest.Header("If-None-Match") == "*") {
    return platform::write_condition{ std::nullopt };
  }
  const auto expected = ParseEntityTag(aRequest.Header("If-Match"));
  return expected ? std::optional(platform::write_condition{ expected }) : std::nullopt;
}

std::optional<watch_query>
ParseWatch(const entry::server_request& aRequest)
{
  watch_query query;
  query.kinds = SplitAtCommas(aRequest.QueryMember("kinds"));
  const auto from = ParseNumber(aRequest.QueryMember("from"));
  const auto wait = ParseNumber(aRequest.QueryMember("timeout_ms"));
  if (query.kinds.empty() || !from || !wait) {
    return std::nullopt;
  }
  query.from.value = *from;
  query.wait.ms = static_cast<std::int64_t>(*wait);
  return query;
}

std::optional<std::uint64_t>
ParseWeights(const std::string& aBody)
{
  json_problem problem;
  const auto body = ParseJson(aBody, problem);
  if (!body) {
    return std::nullopt;
  }
  json_reader reader(*body, "$", problem);
  reader.AllowUnknown();
  const std::int64_t bytes = reader.Number("bytes", 0, INT64_MAX);
  return reader.Finish() ? std::optional(static_cast<std::uint64_t>(bytes)) : std::nullopt;
}

std::string
RenderObjectList(const platform::object_list& aList)
{
  nlohmann::json items = nlohmann::json::array();
  for (const platform::stored_object& object : aList.objects) {
    items.push_back({ { "name", object.key.name },
                      { "revision", object.version.value },
                      { "value", object.value } });
  }
  return nlohmann::json{ { "revision", aList.asOf.value }, { "items", std::move(items) } }.dump();
}

std::string
RenderChanges(const platform::object_changes& aChanges)
{
  nlohmann::json events = nlohmann::json::array();
  for (const platform::object_change& change : aChanges.changes) {
    events.push_back({ { "kind", change.key.kind },
                       { "name", change.key.name },
                       { "revision", change.version.value },
                       { "deleted", change.deleted },
                       { "value", change.value } });
  }
  return nlohmann::json{
    { "revision", aChanges.asOf.value }, { "events", std::move(events) }
  }.dump();
}

} // namespace persimmon::standins
