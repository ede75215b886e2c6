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

/// The planner's report on a service whose required capacity cannot be placed.
struct placement_note
{
  service_name service;
  /// Number of groups that the document requires.
  std::int64_t wanted = 0;
  /// Number of groups that are placed.
  std::int64_t placed = 0;
  /// Reason for the missing groups; empty when the requirement is met again.
  std::string why;
};

/// Parses the value of a `status` object. Returns nothing and sets aProblem when it is invalid.
std::optional<placement_note>
ParsePlacementNote(std::string_view aText, json_problem& aProblem);

/// Input data of the report of `persimmonctl status`.
struct status_input
{
  std::vector<versioned_document> documents;
  std::vector<placement::domain_table> tables;
  std::vector<platform::listed_instance> instances;
  std::vector<asked_router> routers;
  std::vector<placement_note> notes;
};

/// Renders the report as human-readable text.
std::string
RenderStatus(const status_input& aInput);

} // namespace persimmon::ctl
