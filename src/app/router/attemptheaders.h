#pragma once

#include "app/router/parsedcall.h"
#include "entry/serverrequest.h"
#include "entry/serverresponse.h"
#include "routing/loadreport.h"
#include "routing/requestflowevents.h"
#include "upstream/responsehead.h"
#include "upstream/upstreamheader.h"

#include <optional>
#include <vector>

namespace persimmon::router {

/// Returns the identity that responses to an attempt must carry.
routing::attempt_identity
ExpectedIdentity(const routing::upstream& aUpstream, const attempt_id& aAttempt);

/// Returns the headers of an attempt: those of the caller's request that concern the upstream, and
/// the router's own.
std::vector<upstream::upstream_header>
AttemptHeaders(const entry::server_request& aRequest,
               const parsed_call& aCall,
               const request_id& aId,
               const attempt_id& aAttempt,
               const routing::upstream& aUpstream,
               std::uint64_t aResumeAfter);

/// Returns what a response's head means to the request's flow.
routing::flow_response_head
ReadHead(const upstream::response_head& aHead, routing::attempt_number aAttempt);

/// Returns the load that a response tells of, if any.
std::optional<routing::load_report>
ReadLoad(const upstream::response_head& aHead, time_point aNow);

/// Returns the headers that go on to the caller.
std::vector<entry::server_header>
AnswerHeaders(const upstream::response_head& aHead, const request_id& aId);

} // namespace persimmon::router
