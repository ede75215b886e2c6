#pragma once

#include "ctl/routerstatus.h"
#include "document/versioneddocument.h"
#include "placement/domaintable.h"
#include "platform/instancelist.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::ctl {

/// What the planner says of a service whose document cannot be met.
struct placement_note
{
  service_name service;
  std::int64_t wanted = 0;
  std::int64_t placed = 0;
  /// Empty when the document is met again.
  std::string why;
};

/// Parses the value of a `status` object.
std::optional<placement_note>
ParsePlacementNote(std::string_view aText, json_problem& aProblem);

/// All that `persimmonctl status` shows.
struct status_input
{
  std::vector<versioned_document> documents;
  std::vector<placement::domain_table> tables;
  std::vector<platform::listed_instance> instances;
  std::vector<asked_router> routers;
  std::vector<placement_note> notes;
};

/// Returns the report as text for people.
std::string
RenderStatus(const status_input& aInput);

} // namespace persimmon::ctl
