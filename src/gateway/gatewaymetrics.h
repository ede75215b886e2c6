#pragma once

#include "base/clock.h"
#include "metrics/metrics.h"

namespace persimmon::gateway {

/// Returns a span in the unit of metrics.
constexpr double
MetricSeconds(duration aSpan)
{
  constexpr double kMsPerSecond = 1000;
  return static_cast<double>(aSpan.ms) / kMsPerSecond;
}

constexpr metric_spec kCalls{ "persimmon_gateway_calls_total", "Calls by kind and outcome" };
constexpr metric_spec kRefusals{ "persimmon_gateway_refusals_total", "Refusals by cause" };
constexpr metric_spec kAttempts{ "persimmon_gateway_attempts_total",
                                 "Calls sent to upstreams, by result" };
constexpr metric_spec kFirstByte{ "persimmon_gateway_first_byte_seconds",
                                  "Time from a call's arrival to the first byte of its answer" };
constexpr metric_spec kLoopDelay{ "persimmon_gateway_loop_delay_seconds",
                                  "How late the tick of the event loop runs, 20 times a second" };
constexpr metric_spec kDescriptors{ "persimmon_gateway_descriptors",
                                    "Descriptors in use, by purpose" };
constexpr metric_spec kIdleConnectionsClosed{ "persimmon_gateway_idle_connections_closed_total",
                                              "Idle connections of callers closed, by cause" };
constexpr metric_spec kStoreRelists{
  "persimmon_gateway_store_relists_total",
  "Lists in place of changes that could not be read, by kind and cause"
};
constexpr metric_spec kUnusableEntries{ "persimmon_gateway_unusable_entries",
                                        "Registered entries that name no usable instance" };
constexpr metric_spec kUnnamedObjects{
  "persimmon_gateway_store_unnamed_objects_total",
  "Objects of the store of which not even a name could be read, by kind"
};
constexpr metric_spec kMovedDomains{ "persimmon_gateway_moved_domains_total",
                                     "Fabric domains that were given to another model" };
constexpr metric_spec kOwnSlots{ "persimmon_gateway_own_slots",
                                 "Slots of groups that are this gateway's, by model" };
constexpr metric_spec kOwnSlotsInUse{ "persimmon_gateway_own_slots_in_use",
                                      "Own slots that calls of this gateway take, by model" };
constexpr metric_spec kModelUtilisation{ "persimmon_gateway_model_utilisation",
                                         "Known calls of all gateways, relative to the slots" };
constexpr metric_spec kEmptiedZones{ "persimmon_gateway_emptied_zones",
                                     "Availability zones that are emptied" };
constexpr metric_spec kColdUpstreams{ "persimmon_gateway_cold_upstreams",
                                      "Upstreams that are cold and take few calls" };
constexpr metric_spec kUnread{ "persimmon_gateway_unread_seconds",
                               "Time that a call's first bytes waited before they were read" };
constexpr metric_spec kCallersLeft{ "persimmon_gateway_callers_left_total",
                                    "Callers that left, by when it was found" };
constexpr metric_spec kEventGap{ "persimmon_gateway_event_gap_seconds",
                                 "Longest pause between two events of a stream" };
constexpr metric_spec kRepeatsLeft{ "persimmon_gateway_repeats_left",
                                    "Repeats that this process may still cause in the window" };
constexpr metric_spec kGroups{ "persimmon_gateway_groups", "Groups by what they do" };
constexpr metric_spec kIdleInstances{ "persimmon_gateway_idle_instances",
                                      "Engine instances in no group, as the holder sees them" };
constexpr metric_spec kOrders{ "persimmon_gateway_orders_total",
                               "Orders to engines by kind and outcome" };
constexpr metric_spec kStoreCalls{ "persimmon_gateway_store_calls_total",
                                   "Calls to the store by kind and outcome" };
constexpr metric_spec kConfigurationsRejected{
  "persimmon_gateway_configurations_rejected_total",
  "Versions of the configuration that could not be put in force"
};
constexpr metric_spec kConfigurationVersion{ "persimmon_gateway_configuration_version",
                                             "Version of the configuration in force" };
constexpr metric_spec kConfigurationAge{
  "persimmon_gateway_configuration_age_seconds",
  "Time since the store last answered a watch of the configuration"
};
constexpr metric_spec kStoreAge{ "persimmon_gateway_store_age_seconds",
                                 "Age of the latest read of the instances by any gateway" };
constexpr metric_spec kStoreReader{ "persimmon_gateway_store_reader",
                                    "1 while this process reads the instances itself" };
constexpr metric_spec kLeaseHeld{ "persimmon_gateway_lease_held",
                                  "1 while this process forms the groups" };
constexpr metric_spec kLogLinesDropped{ "persimmon_gateway_log_lines_dropped",
                                        "Log lines that were dropped for a slow reader" };
constexpr metric_spec kStoreEraChanges{ "persimmon_gateway_store_era_changes_total",
                                        "Times that the store came back from an older copy" };
constexpr metric_spec kUpstreamCrashes{ "persimmon_gateway_upstream_crashes_total",
                                        "Crashes of upstreams that ended calls of this process" };
constexpr metric_spec kLostCalls{
  "persimmon_gateway_lost_calls_total",
  "Calls that broke off, by what was found out about their upstream"
};
constexpr metric_spec kSuspects{ "persimmon_gateway_suspects",
                                 "Requests that were in flight when an upstream crashed" };
constexpr metric_spec kQuarantined{
  "persimmon_gateway_quarantined",
  "Requests that are refused since upstreams crashed under them"
};
constexpr metric_spec kSuspectParts{ "persimmon_gateway_suspect_prompt_parts",
                                     "Parts of prompts that crashes of upstreams count against" };
constexpr metric_spec kQuarantinedParts{
  "persimmon_gateway_quarantined_prompt_parts",
  "Parts of prompts whose requests are refused since upstreams crashed under them"
};
constexpr metric_spec kPromptPartRefusals{
  "persimmon_gateway_prompt_part_refusals_total",
  "Times that a request was held back for a part of its prompt"
};
constexpr metric_spec kLimitedUpstreams{ "persimmon_gateway_limited_upstreams",
                                         "Upstreams that state a limit of requests" };
constexpr metric_spec kLimitShare{
  "persimmon_gateway_limit_share_per_second",
  "Calls a second that this process may send to limited upstreams"
};
constexpr metric_spec kCallsPastLimited{
  "persimmon_gateway_calls_past_limited_total",
  "Calls sent while the limit of another upstream allowed none"
};
constexpr metric_spec kCallsPastPaused{ "persimmon_gateway_calls_past_paused_total",
                                        "Calls sent while another upstream wanted a pause" };
constexpr metric_spec kUpstreamsLeaving{ "persimmon_gateway_upstreams_leaving_total",
                                         "Upstreams that said that they are leaving" };
constexpr metric_spec kUpstreamPauses{ "persimmon_gateway_upstream_pauses_total",
                                       "Pauses that upstreams asked this process for" };
constexpr metric_spec kUnknownHeaders{ "persimmon_gateway_unknown_headers_total",
                                       "Headers of upstreams' responses that have no effect since "
                                       "they are not known" };
constexpr metric_spec kCutOff{ "persimmon_gateway_cut_off",
                               "1 while this process is cut off from all upstreams" };
constexpr metric_spec kLostPaths{ "persimmon_gateway_lost_paths",
                                  "Upstreams that only other gateways reach" };
constexpr metric_spec kRelayPeers{ "persimmon_gateway_relay_peers",
                                   "Live gateways through which upstreams may be reached" };
constexpr metric_spec kUpstreamConnections{ "persimmon_gateway_upstream_connections_total",
                                            "Connections to upstreams by path" };
constexpr metric_spec kRelayFailures{ "persimmon_gateway_relay_failures_total",
                                      "Tunnels that other gateways did not open, by status" };
constexpr metric_spec kTunnels{ "persimmon_gateway_tunnels",
                                "Connections of other gateways that this process passes on" };
constexpr metric_spec kPeers{ "persimmon_gateway_peers", "Live gateways, this one included" };
constexpr metric_spec kLinkedPeers{ "persimmon_gateway_linked_peers",
                                    "Gateways that this process has an open link to" };
constexpr metric_spec kPeerFrameAge{ "persimmon_gateway_peer_frame_age_seconds",
                                     "Longest time since a linked peer last sent anything" };

} // namespace persimmon::gateway
