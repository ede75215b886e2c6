#pragma once

#include "peers/member.h"
#include "peers/messagestore.h"

#include <array>
#include <cstdint>
#include <vector>

namespace persimmon::peers {

/// A peer with an open link.
struct peer_status
{
  router_id id;
  bool outgoing = false;
  bool leaf = false;
  /// Time since the last frame was received from the peer.
  duration sinceLastFrame;
};

/// Counters since the start of the process.
struct mesh_counters
{
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  /// Bytes of all sent frames.
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  /// Bytes of document and table bodies that peers requested; included in bytesSent.
  std::uint64_t bodyBytesSent = 0;
  std::uint64_t messagesDelivered = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t unknownRecords = 0;
  std::uint64_t badFrames = 0;
  /// Messages of this process that were not sent, since peers would refuse them.
  std::uint64_t unsendable = 0;
  /// Bytes of records charged to the budget, by message_priority.
  std::array<std::uint64_t, kPriorityCount> bytesByPriority{};
  /// Messages that currently wait for the next frame or for the budget, by message_priority.
  std::array<std::uint64_t, kPriorityCount> waiting{};
};

/// State of the mesh in the view of one process.
struct mesh_status
{
  std::vector<peer_status> peers;
  std::vector<member> members;
  mesh_counters counters;
  /// The stored documents and tables were read from the platform or matched those of a caught-up
  /// peer.
  bool caughtUp = false;
};

/// Progress of the rollout of a version of a document or table.
struct rollout_status
{
  /// Live routers that apply this version or a later one.
  std::size_t applied = 0;
  /// All live routers.
  std::size_t live = 0;
  /// Live routers that do not apply this version yet.
  std::vector<router_id> notApplied;
};

} // namespace persimmon::peers
