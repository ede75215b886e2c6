#pragma once

#include "base/ids.h"
#include "entry/responder.h"
#include "entry/serverrequest.h"

#include <functional>
#include <vector>

namespace persimmon::router {

using block_peers = std::function<void(const std::vector<router_id>&)>;

/// Answers `POST /control/faults` with `{"blocked_peers":["router-2"]}` on the address for tests:
/// the mesh drops all that goes to and comes from these routers, until another list is given.
void
HandleTestControl(const entry::server_request& aRequest,
                  entry::responder& aResponder,
                  const block_peers& aBlockPeers);

} // namespace persimmon::router
