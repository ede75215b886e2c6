#pragma once

#include "document/versioneddocument.h"
#include "routing/candidate.h"

#include <memory>
#include <vector>

namespace persimmon::routing {

/// What a router knows of one service; immutable, so that threads share it without a lock.
struct service_view
{
  /// The document in force; nothing when only a table or list names the service.
  std::shared_ptr<const versioned_document> document;
  /// All upstreams, those that get no requests included, sorted by id.
  std::vector<candidate> candidates;
  /// Routers that send requests to them, by the instance list.
  std::size_t routers = 1;

  /// True when callers may use the service.
  [[nodiscard]] bool Active() const { return document && !document->document.retired; }
  /// Number of upstreams that may get requests at a moment.
  [[nodiscard]] std::size_t EligibleCount(time_point aNow) const;
  /// Sum of the reported loads.
  [[nodiscard]] std::uint64_t ReportedLoad() const;
};

} // namespace persimmon::routing
