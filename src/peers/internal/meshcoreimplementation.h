#pragma once

#include "base/random.h"
#include "peers/factstore.h"
#include "peers/internal/dialer.h"
#include "peers/internal/linkstate.h"
#include "peers/memberlist.h"
#include "peers/meshcore.h"

#include <map>
#include <unordered_map>

namespace persimmon::peers {

/// Implementation of mesh_core. Links and members are in meshcorelinks.cpp, messages in
/// meshcoremessages.cpp, dissemination paths in meshcorepaths.cpp, applied versions in
/// meshcoreapplied.cpp, sending in meshcoresending.cpp.
class mesh_core::implementation
{
public:
  implementation(mesh_options aOptions, time_point aNow);

  void On(const link_opened& aEvent);
  void On(const link_closed& aEvent);
  void On(const frame_received& aEvent);
  void On(const publish_requested& aEvent);
  void On(const seeds_changed& aEvent);
  void On(const store_state_changed& aEvent);
  void On(const timer_fired& aEvent);
  void On(const stop_requested& aEvent);

  mesh_options options;
  time_point now;
  std::vector<mesh_action> actions;
  member_list members;
  fact_store facts;
  std::map<link_id, link_state> links;
  mesh_counters counters;
  bool caughtUp = false;
  std::map<router_id, applied_hash_record> appliedHashes;
  /// By router, fact_store::LastAccepted() at the time when the router's hash last equalled that of
  /// all stored documents and tables. The router applies every version stored up to then.
  std::map<router_id, std::uint64_t> covered;

private:
  /// A version that a peer announced and that is not stored yet.
  struct wanted_version
  {
    announce_record record;
    std::vector<link_id> holders;
    /// Time of the next pull.
    time_point due;
  };

  /// Dissemination path of the messages of an origin.
  struct origin_state
  {
    /// Link over which the origin's messages are received.
    link_id parent;
    /// Link that last delivered a new message before the parent.
    link_id challenger;
    /// Number of consecutive messages that the parent delivered only after another link.
    int overtakes = 0;
  };

  /// Newest presence message of a group from any observer.
  struct group_evidence
  {
    time_point observedAt;
    router_id observer;
    bool whole = false;
    generation version;
    time_point graftedAt;
  };

  // Links and members.
  void Greet(link_state& aLink);
  void Dial(const endpoint& aAddress);
  void DialPeers();
  void Probe();
  void CloseUnneeded();
  void CloseSilent();
  void Close(link_id aLink, link_reason aReason, const std::string& aDetail);
  void DropLink(link_id aLink);
  void DialFailed(const endpoint& aAddress);
  void SuspectPeer(const router_id& aPeer);
  void SpreadMember(const member& aEntry, std::optional<link_id> aExcept);
  void MergeMember(const member& aUpdate, link_id aFrom);
  /// Sends the stored member entry to a peer that sent an older one.
  void AnswerOldMember(const member& aUpdate, link_state& aLink);
  /// Removes all messages that an earlier process of a router created.
  void ForgetOrigin(const router_id& aRouter);
  bool IsLinked(const router_id& aPeer) const;
  std::vector<router_id> WantedPeers() const;
  std::vector<endpoint> ProbeTargets() const;
  /// Closes one of two links to the same peer. Returns false if aLink was closed.
  bool ResolveDuplicate(link_state& aLink);

  // Received records. The functions return false for a malformed record.
  bool TakeRecord(link_state& aLink, const wire_record& aRecord);
  bool TakeHello(link_state& aLink, const wire_record& aRecord);
  bool TakeSummary(link_state& aLink, const wire_record& aRecord);
  bool TakeAnnounce(link_state& aLink, const wire_record& aRecord);
  bool TakePull(link_state& aLink, const wire_record& aRecord);
  bool TakeFact(link_state& aLink, const wire_record& aRecord);
  bool TakeAppliedHash(link_state& aLink, const wire_record& aRecord);
  bool TakePrune(link_state& aLink, const wire_record& aRecord);
  bool TakeGraft(link_state& aLink, const wire_record& aRecord);

  // Messages.
  void Accepted(const mesh_fact& aFact, std::optional<link_id> aFrom);
  void Queue(link_state& aLink, subject_id aSubject, const mesh_fact& aFact);
  void QueueForOthers(const mesh_fact& aFact, std::optional<link_id> aFrom);
  void HeardOrigin(const router_id& aOrigin, link_id aFrom);
  void NoteGroup(const presence_message& aMessage, time_point aObservedAt);
  void TookDuplicate(link_state& aLink, const router_id& aOrigin);
  void GraftOrigin(const router_id& aOrigin);
  void GraftOrphans(link_id aClosed);
  void GraftStarved();
  void AskForWanted();
  /// Queues leaving instances, suspect requests and, to a dialling peer, applied hashes for a new
  /// link.
  void SendMarks(link_state& aLink);
  /// Queues for a peer the versions or members in which its summary differs from this process.
  void Repair(link_state& aLink, const summary_record& aSummary);
  void SpreadOwnApplied();
  void UpdateOwnHash(const applied_message& aMessage);
  void CompareHash(const applied_hash_record& aRecord);
  void SettleAppliedHash();
  /// Removes applied messages that the hash of their router covers.
  void ExpireApplied();
  void SpreadAppliedHash(const router_id& aRouter, std::optional<link_id> aExcept);
  bool IsPresenceNeeded(const presence_message& aMessage) const;
  std::uint64_t NextStamp();

  // Sending.
  /// Adds a record to the link's frame and charges its size to the budget, except for bodies.
  void Append(link_state& aLink, wire_record aRecord);
  void SendFrame(link_state& aLink);
  /// Sends the frames that must not wait for the timer.
  void SendPrompt();
  void SendSummaries();
  void Flush(bool aBulk);
  void FlushWorth(std::size_t aWorth);
  wire_record RenderFact(link_state& aLink, const mesh_fact& aFact);
  /// Adds the next pending record of a priority to the link's frame and charges the budget. Returns
  /// false if none was pending.
  bool SendOne(link_state& aLink, std::size_t aWorth);
  /// Adds the next pending record of a priority to the link's frame. Returns false if none was
  /// pending.
  bool SendWaiting(link_state& aLink, std::size_t aWorth);
  bool SendMember(link_state& aLink);
  bool SendAppliedHash(link_state& aLink);

  random_source mRandom;
  dialer mDialer;
  std::vector<endpoint> mSeeds;
  time_point mStartedAt;
  std::uint64_t mNextLink = 1;
  std::map<link_id, endpoint> mDialling;
  std::map<link_id, endpoint> mDialled;
  std::unordered_map<subject_id, wanted_version> mWanted;
  std::map<router_id, origin_state> mOrigins;
  bool mStoreFresh = false;
  std::int64_t mBudget = 0;
  time_point mBudgetAt;
  time_point mNextBulk;
  time_point mNextProbe;
  time_point mNextUpkeep;
  time_point mNextExpiry;
  std::uint64_t mLastStamp = 0;
  time_point mAppliedChangedAt;
  time_point mAppliedFirstAt;
  std::vector<subject_id> mAppliedUnsent;
  bool mAppliedChanged = false;
  bool mAppliedMany = false;
  std::unordered_map<subject_id, std::uint64_t> mOwnApplied;
  std::unordered_map<group_id, group_evidence> mGroups;
};

} // namespace persimmon::peers
