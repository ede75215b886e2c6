#pragma once

#include "entry/serverresponse.h"
#include "standins/engine/enginerequest.h"
#include "standins/engine/enginestatus.h"

#include <string>
#include <vector>

namespace persimmon::standins {

/// Headers of the answer to a request that was admitted.
std::vector<entry::server_header>
AnswerHeaders(const engine_request& aRequest, const load_report& aLoad);

/// A refusal with proof that nothing ran; aStatus is the instance's own.
entry::server_response
RefusalAnswer(const attempt_id& aAttempt,
              int aHttpStatus,
              const std::string& aReason,
              const engine_status& aStatus);

/// The answer of an unstreamed request.
entry::server_response
WholeAnswer(const engine_request& aRequest, const std::string& aText, const load_report& aLoad);

/// One server-sent event with tokens.
std::string
TokenEvent(const engine_request& aRequest, const std::string& aText);

/// The last server-sent events of a whole stream.
std::string
LastEvents(const engine_request& aRequest);

} // namespace persimmon::standins
