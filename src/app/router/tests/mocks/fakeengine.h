#pragma once

#include "entry/responder.h"
#include "entry/serverrequest.h"

#include <fmt/format.h>
#include <memory>
#include <string>

namespace persimmon::router {

/// Headers of a right answer to an attempt at generation 1 of version v1 of "llm".
inline std::vector<entry::server_header>
EngineHeaders(const entry::server_request& aRequest, bool aEchoResume = true)
{
  std::vector<entry::server_header> headers{
    { "Persimmon-Attempt", aRequest.Header("Persimmon-Attempt") },
    { "Persimmon-Service", "llm" },
    { "Persimmon-Version", "v1" },
    { "Persimmon-Generation", "1" },
  };
  const std::string resume = aRequest.Header("Persimmon-Resume-Tokens");
  if (aEchoResume && !resume.empty()) {
    headers.push_back({ "Persimmon-Resume-Tokens", resume });
  }
  return headers;
}

inline std::string
TokenEvent(int aToken)
{
  return fmt::format("data: {}\n\n", aToken);
}

/// Sends the tokens after those that the caller has, up to aLast.
inline void
SendTokens(const entry::server_request& aRequest, entry::responder& aResponder, int aLast)
{
  const std::string resume = aRequest.Header("Persimmon-Resume-Tokens");
  const int first = resume.empty() ? 0 : std::stoi(resume);
  for (int token = first; token < aLast; ++token) {
    aResponder.Write(TokenEvent(token));
  }
}

} // namespace persimmon::router
