#pragma once

#include "metrics/metrics.h"

namespace persimmon::placement {

inline constexpr metric_spec kLeaseHeldMetric{ "persimmon_placement_lease_held",
                                               "1 while the placer holds its lease" };
inline constexpr metric_spec kOwnedDomainsMetric{ "persimmon_placement_owned_domains",
                                                  "Fabric domains that fall to this placer" };
inline constexpr metric_spec kGroupsMetric{ "persimmon_placement_groups",
                                            "Groups in all domain tables, by state" };
inline constexpr metric_spec kUnmetMetric{ "persimmon_placement_unmet_groups",
                                           "Groups that documents ask for and no domain can hold" };
inline constexpr metric_spec kDecisionsMetric{ "persimmon_placement_decisions_total",
                                               "Decisions, by the name of their log event" };
inline constexpr metric_spec kOrdersMetric{ "persimmon_placement_orders_total",
                                            "Orders to engines, by kind and outcome" };
inline constexpr metric_spec kStoreCallsMetric{ "persimmon_placement_store_calls_total",
                                                "Calls to the platform, by call and error" };
inline constexpr metric_spec kPassSecondsMetric{ "persimmon_placement_pass_seconds",
                                                 "Time that one event took to be decided on" };

} // namespace persimmon::placement
