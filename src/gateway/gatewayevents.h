#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::gateway {

constexpr log_event kGatewayStarted{ 8001, "gateway_started", log_level::info };
constexpr log_event kGatewayNotStarted{ 8002, "gateway_not_started", log_level::error };
constexpr log_event kGatewayStopping{ 8003, "gateway_stopping", log_level::info };
constexpr log_event kGatewayStopped{ 8004, "gateway_stopped", log_level::info };
constexpr log_event kReloaded{ 8005, "reloaded", log_level::info };
constexpr log_event kReloadRejected{ 8007, "reload_rejected", log_level::error };
constexpr log_event kReadinessChanged{ 8006, "readiness_changed", log_level::info };
constexpr log_event kConfigurationInForce{ 8010, "configuration_in_force", log_level::info };
constexpr log_event kConfigurationRejected{ 8011, "configuration_rejected", log_level::error };
constexpr log_event kEntrySkipped{ 8013, "entry_skipped", log_level::warning };
constexpr log_event kObjectUnnamed{ 8012, "object_unnamed", log_level::warning };
constexpr log_event kStoreLost{ 8014, "store_lost", log_level::warning };
constexpr log_event kStoreRegained{ 8015, "store_regained", log_level::info };
constexpr log_event kStoreEraChanged{ 8016, "store_era_changed", log_level::warning };
constexpr log_event kStoreListedAnew{ 8017, "store_listed_anew", log_level::warning };
constexpr log_event kZoneEmptied{ 8018, "zone_emptied", log_level::info };
constexpr log_event kZoneTakenBack{ 8019, "zone_taken_back", log_level::info };
constexpr log_event kCallRefused{ 8020, "call_refused", log_level::info };
constexpr log_event kCallSent{ 8021, "call_sent", log_level::info };
constexpr log_event kCallAnswered{ 8022, "call_answered", log_level::info };
constexpr log_event kCallFailed{ 8023, "call_failed", log_level::warning };
constexpr log_event kCallCut{ 8024, "call_cut", log_level::warning };
constexpr log_event kCallerLeft{ 8025, "caller_left", log_level::info };
constexpr log_event kAttemptEnded{ 8026, "attempt_ended", log_level::info };
constexpr log_event kUpstreamCrashed{ 8027, "upstream_crashed", log_level::warning };
constexpr log_event kLossConcluded{ 8028, "loss_concluded", log_level::info };
constexpr log_event kAttemptStalled{ 8029, "attempt_stalled", log_level::info };
constexpr log_event kGroupSuspected{ 8030, "group_suspected", log_level::info };
constexpr log_event kGroupBroken{ 8031, "group_broken", log_level::warning };
constexpr log_event kGroupWhole{ 8032, "group_whole", log_level::info };
constexpr log_event kLeaseTaken{ 8040, "lease_taken", log_level::info };
constexpr log_event kLeaseLost{ 8041, "lease_lost", log_level::warning };
constexpr log_event kLeaseWriteFailed{ 8042, "lease_write_failed", log_level::warning };
constexpr log_event kGroupDecided{ 8043, "group_decided", log_level::info };
constexpr log_event kOrderGiven{ 8044, "order_given", log_level::info };
constexpr log_event kReportNotUnderstood{ 8045, "report_not_understood", log_level::warning };
constexpr log_event kSuspicionWriteFailed{ 8047, "suspicion_write_failed", log_level::warning };
constexpr log_event kInstancesIdle{ 8046, "instances_idle", log_level::info };
constexpr log_event kDomainMoved{ 8049, "domain_moved", log_level::info };
constexpr log_event kUnknownHeader{ 8048, "unknown_header", log_level::warning };
constexpr log_event kUpstreamLimited{ 8050, "upstream_limited", log_level::warning };
constexpr log_event kUpstreamLimitEnded{ 8051, "upstream_limit_ended", log_level::info };
constexpr log_event kUpstreamLeaving{ 8053, "upstream_leaving", log_level::info };
constexpr log_event kUpstreamPaused{ 8054, "upstream_paused", log_level::info };
constexpr log_event kStatementUnreadable{ 8055, "statement_unreadable", log_level::warning };
constexpr log_event kStoreReadingChanged{ 8063, "store_reading_changed", log_level::info };
constexpr log_event kLoopLate{ 8062, "loop_late", log_level::warning };
constexpr log_event kCutOffFromUpstreams{ 8060, "cut_off_from_upstreams", log_level::warning };
constexpr log_event kReachesUpstreams{ 8061, "reaches_upstreams", log_level::info };

/// All log events that a gateway writes.
inline constexpr std::array kGatewayEvents{ kGatewayStarted,
                                            kGatewayNotStarted,
                                            kGatewayStopping,
                                            kGatewayStopped,
                                            kReloaded,
                                            kReloadRejected,
                                            kReadinessChanged,
                                            kConfigurationInForce,
                                            kConfigurationRejected,
                                            kEntrySkipped,
                                            kObjectUnnamed,
                                            kStoreLost,
                                            kStoreRegained,
                                            kStoreEraChanged,
                                            kStoreListedAnew,
                                            kZoneEmptied,
                                            kZoneTakenBack,
                                            kCallRefused,
                                            kCallSent,
                                            kCallAnswered,
                                            kCallFailed,
                                            kCallCut,
                                            kCallerLeft,
                                            kAttemptEnded,
                                            kUpstreamCrashed,
                                            kLossConcluded,
                                            kAttemptStalled,
                                            kGroupSuspected,
                                            kGroupBroken,
                                            kGroupWhole,
                                            kLeaseTaken,
                                            kLeaseLost,
                                            kLeaseWriteFailed,
                                            kGroupDecided,
                                            kOrderGiven,
                                            kReportNotUnderstood,
                                            kInstancesIdle,
                                            kDomainMoved,
                                            kSuspicionWriteFailed,
                                            kUnknownHeader,
                                            kUpstreamLimited,
                                            kUpstreamLimitEnded,
                                            kUpstreamLeaving,
                                            kUpstreamPaused,
                                            kStatementUnreadable,
                                            kCutOffFromUpstreams,
                                            kReachesUpstreams,
                                            kLoopLate,
                                            kStoreReadingChanged };

} // namespace persimmon::gateway
