#pragma once

#include "peers/internal/pendingset.h"
#include "peers/meshevent.h"
#include "peers/recordcodec.h"

#include <array>
#include <set>

namespace persimmon::peers {

/// What a mesh core knows of one open link.
struct link_state
{
  link_id id;
  bool outgoing = false;
  /// The peer's hello has come.
  bool greeted = false;
  bool leaf = false;
  router_id peer;
  std::uint64_t peerLife = 0;
  time_point openedAt;
  time_point lastHeard;
  time_point lastSummary;
  record_codec codec;
  /// Frame under construction and an upper bound of its size in bytes.
  wire_frame frame;
  std::size_t frameBytes = 0;
  /// The frame does not wait for the timer.
  bool sendNow = false;
  /// Subjects to send, by worth.
  std::array<pending_set<subject_id>, kWorthCount> facts;
  pending_set<router_id> members;
  pending_set<router_id> appliedHashes;
  /// Origins whose messages the peer gets by another link.
  std::set<router_id> prunedByPeer;
  /// Origins whose messages this process gets by another link.
  std::set<router_id> prunedByUs;
  /// Summaries in a row that showed a difference.
  int differences = 0;
  time_point lastRepair;
  std::size_t summaries = 0;

  void Forget(subject_id aSubject)
  {
    for (auto& waiting : facts) {
      waiting.Remove(aSubject);
    }
  }
};

} // namespace persimmon::peers
