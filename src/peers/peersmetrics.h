#pragma once

#include "metrics/metrics.h"

#include <array>

namespace persimmon::peers {

constexpr metric_spec kMeshFramesSent{ "persimmon_mesh_frames_sent_total", "Frames sent to peers" };
constexpr metric_spec kMeshBytesSent{ "persimmon_mesh_bytes_sent_total",
                                      "Bytes of frames sent to peers" };
constexpr metric_spec kMeshBodyBytesSent{ "persimmon_mesh_body_bytes_sent_total",
                                          "Bytes of documents and tables that peers asked for" };
constexpr metric_spec kMeshBytesReceived{ "persimmon_mesh_bytes_received_total",
                                          "Bytes of frames received from peers" };
constexpr metric_spec kMeshDelivered{ "persimmon_mesh_messages_delivered_total",
                                      "Messages that were news" };
constexpr metric_spec kMeshDuplicates{ "persimmon_mesh_duplicates_total",
                                       "Messages that were known already" };
constexpr metric_spec kMeshUnknown{ "persimmon_mesh_unknown_records_total",
                                    "Records of kinds that this version does not know" };
constexpr metric_spec kMeshBadFrames{ "persimmon_mesh_bad_frames_total",
                                      "Frames that closed their link" };
constexpr metric_spec kMeshRefused{ "persimmon_mesh_refused_total",
                                    "Peers that did not prove the shared key" };
constexpr metric_spec kMeshWaiting{ "persimmon_mesh_waiting",
                                    "Messages that wait for the byte budget" };
constexpr metric_spec kMeshPeers{ "persimmon_mesh_peers", "Links to peers at present" };
constexpr metric_spec kMeshLive{ "persimmon_mesh_live_routers", "Routers that count as live" };

inline constexpr std::array kPeersMetrics{ kMeshFramesSent,    kMeshBytesSent, kMeshBodyBytesSent,
                                           kMeshBytesReceived, kMeshDelivered, kMeshDuplicates,
                                           kMeshUnknown,       kMeshBadFrames, kMeshRefused,
                                           kMeshWaiting,       kMeshPeers,     kMeshLive };

} // namespace persimmon::peers
