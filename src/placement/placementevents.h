#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::placement {

inline constexpr log_event kLeaseGained{ 3001, "lease_gained", log_level::info };
inline constexpr log_event kLeaseLost{ 3002, "lease_lost", log_level::warning };
inline constexpr log_event kDomainTaken{ 3003, "domain_taken", log_level::info };
inline constexpr log_event kDomainLeft{ 3004, "domain_left", log_level::info };
inline constexpr log_event kGroupFormed{ 3010, "group_formed", log_level::info };
inline constexpr log_event kGroupLoading{ 3011, "group_loading", log_level::info };
inline constexpr log_event kGroupServing{ 3012, "group_serving", log_level::info };
inline constexpr log_event kGroupRepaired{ 3013, "group_repaired", log_level::warning };
inline constexpr log_event kGroupDropped{ 3015, "group_dropped", log_level::warning };
inline constexpr log_event kGroupDraining{ 3016, "group_draining", log_level::info };
inline constexpr log_event kGroupWithdrawn{ 3017, "group_withdrawn", log_level::warning };
inline constexpr log_event kGroupChanged{ 3018, "group_changed", log_level::info };
inline constexpr log_event kOrderSent{ 3020, "order_sent", log_level::info };
inline constexpr log_event kOrderFailed{ 3021, "order_failed", log_level::warning };
inline constexpr log_event kInstanceLost{ 3022, "instance_lost", log_level::warning };
inline constexpr log_event kInstanceBack{ 3023, "instance_back", log_level::info };
inline constexpr log_event kTableUnsettled{ 3030, "table_unsettled", log_level::warning };
inline constexpr log_event kTableRefused{ 3031, "table_refused", log_level::error };
inline constexpr log_event kPlanChanged{ 3040, "plan_changed", log_level::info };
inline constexpr log_event kServiceUnmet{ 3041, "service_unmet", log_level::warning };
inline constexpr log_event kDocumentRefused{ 3042, "document_refused", log_level::error };

inline constexpr log_event kPlacerStarted{ 3050, "placer_started", log_level::info };
inline constexpr log_event kPlacerStopping{ 3051, "placer_stopping", log_level::info };
inline constexpr log_event kAdminListening{ 3052, "admin_listening", log_level::info };
inline constexpr log_event kAdminFailed{ 3053, "admin_failed", log_level::error };
inline constexpr log_event kMeshFailed{ 3054, "mesh_failed", log_level::error };

inline constexpr std::array kPlacementEvents = {
  kLeaseGained,  kLeaseLost,     kDomainTaken,     kDomainLeft,    kGroupFormed,    kGroupLoading,
  kGroupServing, kGroupRepaired, kGroupDropped,    kGroupDraining, kGroupWithdrawn, kGroupChanged,
  kOrderSent,    kOrderFailed,   kInstanceLost,    kInstanceBack,  kTableUnsettled, kTableRefused,
  kPlanChanged,  kServiceUnmet,  kDocumentRefused, kPlacerStarted, kPlacerStopping, kAdminListening,
  kAdminFailed,  kMeshFailed,
};

} // namespace persimmon::placement
