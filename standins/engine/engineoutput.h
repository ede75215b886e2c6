#pragma once

#include "standins/engine/enginerequest.h"

#include <memory>
#include <string>

namespace persimmon::standins {

/// Why an engine did not take a request, or dropped it before it ran.
struct engine_refusal
{
  int status = 0;
  std::string reason;
};

/// Something that became of a request.
struct engine_output
{
  enum class kind
  {
    /// It began to run.
    started,
    /// Tokens came; `text` has them.
    tokens,
    /// It ran to its end; `text` has the whole answer, tokens before a resumption included.
    completed,
    /// It ran and was cut off; `text` has the cause.
    cut,
    /// It never ran.
    refused
  };

  kind what = kind::started;
  std::shared_ptr<const engine_request> request;
  std::string text;
  engine_refusal refusal{};
};

} // namespace persimmon::standins
