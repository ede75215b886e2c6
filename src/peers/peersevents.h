#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::peers {

constexpr log_event kMeshStarted{ 6000, "mesh_started", log_level::info };
constexpr log_event kMemberChanged{ 6001, "member_changed", log_level::info };
constexpr log_event kLinkOpened{ 6002, "link_opened", log_level::info };
constexpr log_event kLinkEnded{ 6003, "link_ended", log_level::info };
constexpr log_event kPeerRefused{ 6004, "peer_refused", log_level::warning };
constexpr log_event kFrameRefused{ 6005, "frame_refused", log_level::warning };
constexpr log_event kMeshFaultsSet{ 6006, "mesh_faults_set", log_level::warning };

inline constexpr std::array kPeersEvents{ kMeshStarted, kMemberChanged, kLinkOpened,   kLinkEnded,
                                          kPeerRefused, kFrameRefused,  kMeshFaultsSet };

} // namespace persimmon::peers
