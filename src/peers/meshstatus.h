#pragma once

#include "peers/factstore.h"
#include "peers/member.h"

#include <array>
#include <cstdint>
#include <vector>

namespace persimmon::peers {

/// A linked peer.
struct peer_status
{
  router_id id;
  bool outgoing = false;
  bool leaf = false;
  /// Time since the last frame from it.
  duration silent;
};

/// Counts since the start.
struct mesh_counters
{
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  /// Bytes of all frames.
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  /// Bytes of bodies that peers asked for, within bytesSent.
  std::uint64_t bodyBytesSent = 0;
  std::uint64_t messagesDelivered = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t unknownRecords = 0;
  std::uint64_t badFrames = 0;
  /// Bytes of records within the budget, by message_worth.
  std::array<std::uint64_t, kWorthCount> bytesByWorth{};
  /// Messages that wait for the next frame or for the budget at present, by message_worth.
  std::array<std::uint64_t, kWorthCount> waiting{};
};

/// State of the mesh as one process sees it.
struct mesh_status
{
  std::vector<peer_status> peers;
  std::vector<member> members;
  mesh_counters counters;
  /// The documents and tables held came from the platform or from a peer that had them so.
  bool caughtUp = false;
};

/// How far a version of a document or table has come.
struct force_status
{
  /// Live routers that apply this version or a later one.
  std::size_t inForce = 0;
  std::size_t live = 0;
  std::vector<router_id> laggards;
};

} // namespace persimmon::peers
