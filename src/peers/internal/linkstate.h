#pragma once

#include "peers/internal/pendingset.h"
#include "peers/meshevent.h"
#include "peers/recordcodec.h"
#include "peers/storeposition.h"

#include <array>
#include <set>

namespace persimmon::peers {

/// State of an open link of a mesh_core.
struct link_state
{
  link_id id;
  bool outgoing = false;
  /// The peer's hello record was received.
  bool helloReceived = false;
  bool leaf = false;
  router_id peer;
  std::uint64_t peerStartedAtMs = 0;
  time_point openedAt;
  time_point lastReceivedAt;
  time_point lastSummaryAt;
  record_codec codec;
  /// Frame under construction, and the size of its records in bytes.
  wire_frame frame;
  std::size_t frameBytes = 0;
  /// The frame is sent at the end of the current event instead of on the next timer.
  bool sendImmediately = false;
  /// Subjects of messages to send, by priority.
  std::array<pending_set<subject_id>, kPriorityCount> pendingMessages;
  pending_set<router_id> pendingMembers;
  pending_set<router_id> pendingAppliedHashes;
  /// Origins whose messages the peer receives over another link.
  std::set<router_id> prunedByPeer;
  /// Origins whose messages this process receives over another link.
  std::set<router_id> prunedByUs;
  /// Number of consecutive summaries that differed from this process's state.
  int consecutiveDifferences = 0;
  time_point lastRepairAt;
  std::size_t summariesReceived = 0;
  /// The latest summary of the peer said that it is starting; true before any.
  bool peerStarting = true;
  /// This process has announced to the starting peer all that it holds.
  bool stateSent = false;
  /// A position was sent to the peer.
  bool positionSent = false;
  /// Time of the position that was last sent to the peer as announced.
  time_point positionSentAsOf{ INT64_MIN / 2 };
  /// Latest position that the peer has told.
  store_position peerPosition{ {}, { INT64_MIN / 2 } };

  /// Returns whether both sides have compared what they hold, and what differs was queued.
  [[nodiscard]] bool HasComparedState() const
  {
    // The dialling side sends its state first.
    return helloReceived && summariesReceived >= (outgoing ? 1U : 2U);
  }

  /// Returns whether versions wait to be announced.
  [[nodiscard]] bool HasPendingVersions() const
  {
    return !PendingOf(message_priority::urgent_version).Empty() ||
           !PendingOf(message_priority::version).Empty();
  }
  [[nodiscard]] const pending_set<subject_id>& PendingOf(message_priority aPriority) const
  {
    return pendingMessages[static_cast<std::size_t>(aPriority)];
  }

  /// Removes a message that the peer has from the messages to send.
  void RemovePending(subject_id aSubject)
  {
    for (auto& queue : pendingMessages) {
      queue.Remove(aSubject);
    }
  }
};

} // namespace persimmon::peers
