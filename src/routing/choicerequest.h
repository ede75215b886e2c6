#pragma once

#include "routing/upstream.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace persimmon::routing {

/// The properties of a request that affect the choice of its upstream.
struct choice_request
{
  /// PrefixHash() of the prompt; 0 for a request without a prompt.
  std::uint64_t prefix = 0;
  /// Upstreams that must not be chosen: those already tried, or those that run a suspect.
  std::vector<upstream_id> excluded;
  /// Whether the request may be sent to an upstream on probation to test it.
  bool mayTestProbation = true;
};

/// Returns the hash of the first bytes of a prompt, which routes requests with a common prefix to
/// the same upstream; never 0. The hash depends on the service.
std::uint64_t
PrefixHash(const service_name& aService, std::string_view aPrompt);

} // namespace persimmon::routing
