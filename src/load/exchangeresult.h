#pragma once

#include <string>

namespace persimmon::load {

/// How one sending of a call to one router ended.
struct exchange_result
{
  /// True for a whole answer.
  bool answered = false;
  /// HTTP status; 0 when none came.
  int status = 0;
  /// The router's id of the request; empty when no answer came.
  std::string request;
  /// Digest of a whole answer.
  std::string digest;
  /// Reason code of a refusal, or one of the codes below.
  std::string refusal;
  std::string ran;
  std::string attemptRan;
};

/// No connection was made.
constexpr const char* kNotSent = "not_sent";
/// The connection ended before an answer began.
constexpr const char* kNoAnswer = "no_answer";
/// The answer broke off, or its head is none of HTTP.
constexpr const char* kUnfinished = "unfinished";
/// The caller's own bound passed.
constexpr const char* kTimeout = "timeout";
/// The caller left.
constexpr const char* kLeft = "left";

} // namespace persimmon::load
