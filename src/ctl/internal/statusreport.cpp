#include "ctl/statusreport.h"

#include <fmt/format.h>
#include <iterator>
#include <map>
#include <set>

namespace persimmon::ctl {
namespace {

using text_output = std::back_insert_iterator<std::string>;

/// Counts a service's groups by state.
std::map<placement::group_state, int>
CountGroups(const status_input& aInput, const service_name& aService)
{
  std::map<placement::group_state, int> counts;
  for (const placement::domain_table& table : aInput.tables) {
    for (const placement::group& entry : table.groups) {
      if (entry.service == aService) {
        ++counts[entry.state];
      }
    }
  }
  return counts;
}

/// Describes the capacity that a document requires, or why it requires none.
std::string
DescribeRequirement(const service_document& aDocument)
{
  if (aDocument.retired) {
    return "retired";
  }
  if (aDocument.kind == service_kind::plain) {
    return "plain service";
  }
  const std::string adapter = aDocument.model.adapter.empty() ? "" : "+" + aDocument.model.adapter;
  return fmt::format("{}{} {} wants {} x {} instances",
                     aDocument.model.model,
                     adapter,
                     aDocument.model.version,
                     aDocument.capacity.replicas,
                     aDocument.capacity.instancesPerReplica);
}

void
AppendServices(const status_input& aInput, text_output aOut)
{
  fmt::format_to(aOut, "Services\n");
  for (const versioned_document& entry : aInput.documents) {
    fmt::format_to(aOut,
                   "  {} (version {}): {}",
                   entry.document.service.value,
                   entry.version.value,
                   DescribeRequirement(entry.document));
    for (const auto& [state, count] : CountGroups(aInput, entry.document.service)) {
      fmt::format_to(aOut, ", {} {}", count, placement::StateName(state));
    }
    if (!aInput.routers.empty()) {
      fmt::format_to(
        aOut,
        ", {}",
        RenderInForce(CountInForce(aInput.routers, entry.document.service, entry.version)));
    }
    fmt::format_to(aOut, "\n");
  }
}

void
AppendDomains(const status_input& aInput, text_output aOut)
{
  std::map<domain_id, int> listedCounts;
  for (const platform::listed_instance& instance : aInput.instances) {
    if (!instance.isInternal && instance.service.Empty()) {
      ++listedCounts[instance.domain];
    }
  }
  fmt::format_to(aOut, "Fabric domains\n");
  for (const placement::domain_table& table : aInput.tables) {
    std::size_t memberCount = 0;
    for (const placement::group& entry : table.groups) {
      memberCount += entry.members.size();
    }
    fmt::format_to(aOut,
                   "  {}: owner {}, token {}, {} instances listed, {} in groups\n",
                   table.domain.value,
                   table.owner.value,
                   table.token.value,
                   listedCounts[table.domain],
                   memberCount);
    for (const placement::group& entry : table.groups) {
      fmt::format_to(aOut,
                     "    {} {} {} generation {} ({} instances, head {})\n",
                     entry.id.value,
                     entry.service.value,
                     placement::StateName(entry.state),
                     entry.version.value,
                     entry.members.size(),
                     entry.members.empty() ? "none" : entry.members.front().instance.value);
    }
  }
}

void
AppendLeavingInstances(const status_input& aInput, text_output aOut)
{
  for (const platform::listed_instance& instance : aInput.instances) {
    if (instance.leaving) {
      fmt::format_to(aOut, "Leaving: {} in {}\n", instance.id.value, instance.zone.value);
    }
  }
}

} // namespace

std::optional<placement_note>
ParsePlacementNote(std::string_view aText, json_problem& aProblem)
{
  const auto value = ParseJson(aText, aProblem);
  if (!value) {
    return std::nullopt;
  }
  json_reader reader(*value, "$", aProblem);
  reader.AllowUnknown();
  placement_note note;
  note.service.value = reader.Text("service");
  note.wanted = reader.Number("wanted", 0, INT64_MAX);
  note.placed = reader.Number("placed", 0, INT64_MAX);
  note.why = reader.TextOr("why", "");
  if (!reader.Finish()) {
    return std::nullopt;
  }
  return note;
}

std::string
RenderStatus(const status_input& aInput)
{
  std::string text;
  const auto out = std::back_inserter(text);
  AppendServices(aInput, out);
  AppendDomains(aInput, out);
  AppendLeavingInstances(aInput, out);
  for (const placement_note& note : aInput.notes) {
    if (!note.why.empty()) {
      fmt::format_to(out,
                     "Not met: {} has {} of {} groups placed: {}\n",
                     note.service.value,
                     note.placed,
                     note.wanted,
                     note.why);
    }
  }
  return text;
}

} // namespace persimmon::ctl
