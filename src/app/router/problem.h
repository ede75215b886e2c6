#pragma once

#include "base/ids.h"
#include "entry/serverresponse.h"
#include "routing/refusal.h"

#include <string>

namespace persimmon::router {

/// Returns a refusal as an RFC 9457 problem.
entry::server_response
RenderProblem(const routing::refusal& aRefusal, const request_id& aRequest);

/// Returns a refusal as the last event of a stream that cannot be finished.
std::string
RenderErrorEvent(const routing::refusal& aRefusal, const request_id& aRequest);

} // namespace persimmon::router
