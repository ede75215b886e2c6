#pragma once

#include "base/random.h"
#include "peers/internal/dialer.h"
#include "peers/internal/linkstate.h"
#include "peers/memberlist.h"
#include "peers/meshcore.h"
#include "peers/messagestore.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace persimmon::peers {

/// Implementation of mesh_core. Links and members are in meshcorelinks.cpp, messages in
/// meshcoremessages.cpp, dissemination paths in meshcorepaths.cpp, applied versions in
/// meshcoreapplied.cpp, sending in meshcoresending.cpp, positions in the store in
/// meshcorepositions.cpp.
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
  void On(const store_age_known& aEvent);
  void On(const store_position_read& aEvent);
  void On(const timer_fired& aEvent);
  void On(const stop_requested& aEvent);

  mesh_options options;
  time_point now;
  std::vector<mesh_action> actions;
  member_list members;
  message_store messages;
  std::map<link_id, link_state> links;
  mesh_counters counters;
  bool caughtUp = false;
  /// See mesh_core::IsStarting().
  bool starting = true;
  std::map<router_id, applied_hash_record> appliedHashes;
  /// By router, message_store::LastStoreSequence() at the time when the router's hash last equalled
  /// that of all stored documents and tables. The router applies every version stored up to then.
  std::map<router_id, std::uint64_t> coveredUpTo;

private:
  /// A version that a peer announced and that is not stored yet.
  struct missing_version
  {
    announce_record record;
    std::vector<link_id> holders;
    /// Time of the next pull.
    time_point nextPullAt;
    /// Number of the announcement; grows with each one that is not held yet.
    std::uint64_t announcement = 0;
  };

  /// A position that a peer has told, and the announcements that arrived before it: the position is
  /// reached once none of them is missing.
  struct claimed_position
  {
    store_position position;
    std::uint64_t announcements = 0;
  };

  /// Dissemination path of the messages of an origin.
  struct origin_state
  {
    /// Link over which the origin's messages are received.
    link_id parent;
    /// Link that last delivered a new message before the parent.
    link_id fasterLink;
    /// Number of consecutive messages that the parent delivered only after another link.
    int consecutiveOvertakes = 0;
  };

  /// Newest presence message of a group from any observer.
  struct group_evidence
  {
    time_point observedAt;
    router_id observer;
    bool complete = false;
    generation version;
    time_point graftedAt;
  };

  // Links and members.
  void SendHello(link_state& aLink);
  void Dial(const endpoint& aAddress);
  void DialSelectedPeers();
  void DialProbeTarget();
  void CloseUnneededLinks();
  void CloseSilentLinks();
  void CloseLink(link_id aLink, link_close_reason aReason, const std::string& aDetail);
  void RemoveLink(link_id aLink);
  void OnDialFailed(const endpoint& aAddress);
  void SuspectPeer(const router_id& aPeer);
  void QueueMember(const member& aEntry, std::optional<link_id> aExcept);
  void MergeMember(const member& aUpdate, link_id aFrom);
  /// Sends the stored member entry to a peer that sent an older one.
  void SendNewerMember(const member& aUpdate, link_state& aLink);
  /// Removes all messages that an earlier process of a router created.
  void EraseMessagesOfOrigin(const router_id& aRouter);
  bool IsLinked(const router_id& aPeer) const;
  std::vector<router_id> SelectPeers() const;
  std::vector<endpoint> ProbeTargets() const;
  /// Closes one of two links to the same peer. Returns false if aLink was closed.
  bool ResolveDuplicate(link_state& aLink);

  // Received records. The functions return false for a malformed record.
  bool HandleRecord(link_state& aLink, const wire_record& aRecord);
  bool HandleHello(link_state& aLink, const wire_record& aRecord);
  bool HandleSummary(link_state& aLink, const wire_record& aRecord);
  bool HandleAnnounce(link_state& aLink, const wire_record& aRecord);
  bool HandlePull(link_state& aLink, const wire_record& aRecord);
  bool HandleMessage(link_state& aLink, const wire_record& aRecord);
  bool HandleAppliedHash(link_state& aLink, const wire_record& aRecord);
  bool HandlePrune(link_state& aLink, const wire_record& aRecord);
  bool HandleGraft(link_state& aLink, const wire_record& aRecord);
  bool HandlePosition(link_state& aLink, const wire_record& aRecord);

  // Positions in the store; see meshcorepositions.cpp.
  /// Returns whether the version of a message is a revision of the store.
  bool IsRevisioned(const mesh_message& aMessage) const;
  /// Returns whether announcements on a new link wait for the position of the peer, which may hold
  /// most of them.
  bool AwaitsPosition(const link_state& aLink) const;
  /// Returns whether the peer of a link holds a message, as its position says.
  bool IsHeldByPeer(const link_state& aLink, const versioned_message& aEntry) const;
  /// Removes from the messages to send those that the peer holds.
  void RemoveHeldByPeer(link_state& aLink);
  /// Reaches the positions of peers whose announced versions are all held.
  void ReachClaimedPositions();
  /// Tells the peers how far this process knows the store.
  void SendPositions();

  // Messages.
  void DisseminateAccepted(const versioned_message& aEntry, std::optional<link_id> aFrom);
  void QueueMessage(link_state& aLink, subject_id aSubject, const versioned_message& aEntry);
  void QueueMessageForOthers(const versioned_message& aEntry, std::optional<link_id> aFrom);
  void RecordOriginLink(const router_id& aOrigin, link_id aFrom);
  void RecordPresence(const presence_message& aMessage, time_point aObservedAt);
  void PruneDuplicatePath(link_state& aLink, const router_id& aOrigin);
  void GraftOrigin(const router_id& aOrigin);
  void GraftOriginsOfLink(link_id aClosed);
  void GraftStaleGroups();
  void SendDuePulls();
  /// Queues what IsInitialState() names, unless it was sent, and, to a dialling peer, applied
  /// hashes for a new link.
  void QueueInitialState(link_state& aLink);
  /// Sends a new peer a few members at once.
  void SendSomeMembers(link_state& aLink);
  /// Queues for a peer the versions or members in which its summary differs from this process.
  void QueueDifferences(link_state& aLink, const summary_record& aSummary);
  /// Learns from a summary whether this process has all that the peer held, and announces the own
  /// state to a peer that is starting.
  void ExchangeStartState(link_state& aLink, const summary_record& aSummary);
  /// Sends a peer all that IsInitialState() names and announces all documents and tables, followed
  /// by a summary.
  void SendState(link_state& aLink);
  /// Dials the seeds to which a starting process has no link, at intervals.
  void DialSeedsAtStart();
  /// Returns whether there is a link to the router with this address.
  [[nodiscard]] bool IsLinkedTo(const endpoint& aAddress) const;
  /// Returns whether every seed has answered since the start of the process, or refused a link.
  [[nodiscard]] bool HaveSeedsAnswered() const;
  /// Returns whether all linked peers are starting too and none can be expected to know more.
  [[nodiscard]] bool StartsWithOthers() const;
  /// Returns whether no seed runs, and the store tells all there is.
  [[nodiscard]] bool StartsAlone() const;
  /// Ends the start once it has nothing to wait for.
  void UpdateStart();
  void EndStart();
  void QueueOwnApplied();
  void UpdateOwnAppliedHash(const applied_message& aMessage);
  void UpdateCoverage(const applied_hash_record& aRecord);
  void PublishSettledHash();
  /// Removes applied messages that the hash of their router covers.
  void EraseCoveredApplied();
  void QueueAppliedHash(const router_id& aRouter, std::optional<link_id> aExcept);
  bool IsPresenceNeeded(const presence_message& aMessage) const;
  std::uint64_t NextStamp();

  // Sending.
  /// Adds a record to the link's frame and charges its size to the budget, except for bodies.
  void Append(link_state& aLink, wire_record aRecord);
  void SendFrame(link_state& aLink);
  /// Sends the frames that must not wait for the timer.
  void SendImmediateFrames();
  /// Announces the versions that a promise depends on, so that they are part of these frames.
  void SendUrgent();
  void SendSummaries();
  void Flush(bool aBulk);
  void FlushPriority(std::size_t aPriority);
  wire_record EncodeEntry(link_state& aLink, const versioned_message& aEntry);
  /// Adds the next pending record of a priority to the link's frame and charges the budget. Returns
  /// false if none was pending.
  bool AppendNextAndCharge(link_state& aLink, std::size_t aPriority);
  /// Adds the next pending record of a priority to the link's frame. Returns false if none was
  /// pending.
  bool AppendNextPending(link_state& aLink, std::size_t aPriority);
  bool AppendNextMember(link_state& aLink);
  bool AppendNextAppliedHash(link_state& aLink);

  random_source mRandom;
  dialer mDialer;
  std::vector<endpoint> mSeeds;
  time_point mStartedAt;
  std::uint64_t mNextLink = 1;
  std::map<link_id, endpoint> mPendingDials;
  std::map<link_id, endpoint> mOutgoingAddresses;
  std::unordered_map<subject_id, missing_version> mMissing;
  std::map<router_id, origin_state> mOrigins;
  std::uint64_t mAnnouncements = 0;
  std::deque<claimed_position> mClaims;
  std::optional<store_position> mPosition;
  /// Every change up to mPosition is stored here.
  bool mIsPositionPublished = false;
  bool mWatchUpToDate = false;
  /// A peer that was not starting has announced all that it held.
  bool mReceivedState = false;
  /// Time of the next dials of DialSeedsAtStart().
  time_point mNextStartDialAt;
  /// Addresses where a dial has failed since the start.
  std::set<endpoint> mFailedDials;
  bool mStoreNeverRestored = false;
  std::int64_t mBudget = 0;
  time_point mBudgetUpdatedAt;
  time_point mNextBulkAt;
  time_point mNextProbeAt;
  time_point mNextMaintenanceAt;
  time_point mNextExpiryAt;
  std::uint64_t mLastStamp = 0;
  time_point mOwnHashChangedAt;
  time_point mOwnHashFirstChangedAt;
  std::vector<subject_id> mUnsentApplied;
  bool mOwnHashChanged = false;
  bool mManyApplied = false;
  std::unordered_map<subject_id, std::uint64_t> mOwnAppliedVersions;
  std::unordered_map<group_id, group_evidence> mGroups;
};

} // namespace persimmon::peers
