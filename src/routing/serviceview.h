#pragma once

#include "document/versioneddocument.h"
#include "routing/candidate.h"

#include <memory>
#include <vector>

namespace persimmon::routing {

/// Document and upstreams of one service; immutable, so that threads can share it without a lock.
struct service_view
{
  /// The document in force; null when the service is only in a domain table or the instance list.
  std::shared_ptr<const versioned_document> document;
  /// All upstreams, ineligible upstreams included, sorted by id.
  std::vector<candidate> candidates;
  /// Number of routers in the instance list; each sends requests to these upstreams.
  std::size_t routers = 1;

  /// Returns true when the service has a document and is not retired.
  [[nodiscard]] bool Active() const { return document && !document->document.retired; }
  /// Returns the number of upstreams that are eligible at a time.
  [[nodiscard]] std::size_t EligibleCount(time_point aNow) const;
  /// Returns the sum of running and queued requests that the upstreams report.
  [[nodiscard]] std::uint64_t ReportedLoad() const;
};

} // namespace persimmon::routing
