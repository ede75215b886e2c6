#pragma once

#include "base/ids.h"
#include "base/json.h"
#include "entry/serverrequest.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::standins {

/// One completion request as the engine takes it.
struct engine_request
{
  /// Distinguishes the requests of one process.
  std::uint64_t number = 0;
  attempt_id attempt;
  request_id request;
  idempotency_key key;
  group_id group;
  generation version;
  std::uint32_t priority = 0;
  /// Tokens that the caller has already.
  std::size_t resumeTokens = 0;
  std::size_t maxTokens = 0;
  bool streamed = false;
  bool chat = true;
  std::string prompt;
  std::string body;
  /// Filled in by the engine at admission.
  incarnation life;
  service_name service;
  std::string modelVersion;
};

/// Parses a call of /v1/chat/completions or /v1/completions.
std::optional<engine_request>
ParseEngineRequest(const entry::server_request& aRequest, json_problem& aProblem);

} // namespace persimmon::standins
