#pragma once

#include "app/router/callproblem.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmon::router {

enum class completion_kind
{
  chat,
  text
};

/// What routing needs to know of a completion request's body.
struct completion_body
{
  std::string model;
  bool streamed = false;
  /// The prompt, or the messages' contents one after the other.
  std::string prompt;
};

/// Parses and checks a body of /v1/chat/completions or /v1/completions. Members that only concern
/// the engine are not looked at.
std::optional<completion_body>
ParseCompletionBody(std::string_view aBody, completion_kind aKind, call_problem& aProblem);

} // namespace persimmon::router
