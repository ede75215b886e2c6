#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::routing {

constexpr log_event kUpstreamChosen{ 4001, "upstream_chosen", log_level::info };
constexpr log_event kNoUpstream{ 4002, "no_upstream", log_level::warning };
constexpr log_event kRetryDecided{ 4003, "retry_decided", log_level::info };
constexpr log_event kRequestQueued{ 4004, "request_queued", log_level::debug };
constexpr log_event kRequestNotAdmitted{ 4005, "request_not_admitted", log_level::info };
constexpr log_event kUpstreamHealthChanged{ 4006, "upstream_health_changed", log_level::warning };
constexpr log_event kUpstreamDied{ 4007, "upstream_died", log_level::warning };
constexpr log_event kDocumentApplied{ 4020, "document_applied", log_level::info };
constexpr log_event kTableApplied{ 4021, "table_applied", log_level::info };
constexpr log_event kObjectMalformed{ 4022, "object_malformed", log_level::error };
constexpr log_event kLeavingMarked{ 4023, "leaving_marked", log_level::info };
constexpr log_event kGroupEligible{ 4024, "group_eligible", log_level::info };
constexpr log_event kGroupWithdrawn{ 4025, "group_withdrawn", log_level::warning };

/// All log events of this module.
inline constexpr std::array kRoutingEvents{
  kUpstreamChosen,        kNoUpstream,    kRetryDecided,    kRequestQueued, kRequestNotAdmitted,
  kUpstreamHealthChanged, kUpstreamDied,  kDocumentApplied, kTableApplied,  kObjectMalformed,
  kLeavingMarked,         kGroupEligible, kGroupWithdrawn
};

} // namespace persimmon::routing
