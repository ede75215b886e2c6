#pragma once

#include "check/checks.h"
#include "check/historyreader.h"
#include "placement/domaintable.h"

#include <string_view>

namespace persimmon::check {

/// Returns the history of one file with the given lines; a line that cannot be read yields an
/// empty history, which no test of a checker takes for a good one.
inline run_history
MadeHistory(std::string_view aText)
{
  std::vector<recorded_event> events;
  std::string problem;
  if (!ReadHistory(aText, "made", events, problem)) {
    events.clear();
  }
  return run_history(std::move(events));
}

/// Returns a serving group in its first generation.
inline placement::group
MadeGroup(const std::string& aId, const std::vector<instance_life>& aMembers)
{
  placement::group group;
  group.id.value = aId;
  group.service.value = "s";
  group.model = { "m", "", "1" };
  group.state = placement::group_state::serving;
  group.version.value = 1;
  for (const instance_life& member : aMembers) {
    group.members.push_back({ { member.instance }, { "127.0.0.1:1" }, { member.incarnation } });
  }
  return group;
}

/// Returns the line of an accepted table; its time in milliseconds is its revision.
inline std::string
AcceptedTable(std::uint64_t aRevision,
              const std::string& aDomain,
              std::vector<placement::group> aGroups)
{
  placement::domain_table table;
  table.domain.value = aDomain;
  table.owner.value = "p";
  table.groups = std::move(aGroups);
  history::event accepted;
  accepted.kind = history::event_kind::accepted;
  accepted.at.ms = static_cast<std::int64_t>(aRevision);
  accepted.object = "domain/" + aDomain;
  accepted.revision = aRevision;
  accepted.detail = RenderDomainTable(table);
  return RenderEvent(accepted) + "\n";
}

} // namespace persimmon::check
