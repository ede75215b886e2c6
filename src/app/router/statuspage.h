#pragma once

#include "app/router/clusterboard.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <string>

namespace persimmon::router {

/// What a status page shows besides the board.
struct status_facts
{
  router_id router;
  zone_name zone;
  bool ready = false;
  std::size_t inFlight = 0;
};

/// Returns the body of /status.
std::string
RenderStatusPage(const status_facts& aFacts, const cluster_board& aBoard, time_point aNow);

/// Returns the body of /v1/models for the holder of a bearer key.
std::string
RenderModels(const cluster_board& aBoard, const std::string& aBearerKey);

} // namespace persimmon::router
