#pragma once

#include "routing/upstream.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace persimmon::routing {

/// What the choice of an upstream depends on, besides the upstreams.
struct choice_request
{
  /// Hash of the prompt's beginning (PrefixHash); 0 for a request without one.
  std::uint64_t prefix = 0;
  /// Upstreams that must not be chosen: those tried before, or running a suspect.
  std::vector<upstream_id> excluded;
  /// The request may test an upstream on probation.
  bool mayTest = true;
};

/// Returns the hash of a prompt's beginning, by which requests with a common prefix meet on one
/// upstream; never 0. Different services have different hashes.
std::uint64_t
PrefixHash(const service_name& aService, std::string_view aPrompt);

} // namespace persimmon::routing
