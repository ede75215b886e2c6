#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::poison {

/// How a request may be dispatched.
enum class poison_verdict
{
  /// Not a suspect; no restriction.
  clear,
  /// Was in flight when an upstream crashed, and nothing else explains the crash: run it on an
  /// upstream without another suspect.
  isolate,
  /// Refuse the request.
  quarantined
};

/// Verdict on one request.
struct poison_check
{
  poison_verdict verdict = poison_verdict::clear;
  /// For `quarantined`: time until the quarantine ends.
  duration remaining{};
  /// For `quarantined`: fingerprint of the request, or of the part of its prompt, that is refused.
  std::uint64_t fingerprint = 0;
};

} // namespace persimmon::poison
