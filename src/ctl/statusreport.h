#pragma once

#include "ctl/routerstatus.h"
#include "document/versioneddocument.h"
#include "placement/domaintable.h"
#include "platform/instancelist.h"

#include <string>
#include <vector>

namespace persimmon::ctl {

/// A status object that placers write about a service that cannot be satisfied.
struct placement_note
{
  std::string name;
  std::string text;
};

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
