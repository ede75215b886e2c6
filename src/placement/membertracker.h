#pragma once

#include "placement/domaintable.h"
#include "placement/placementmessages.h"

#include <map>
#include <set>

namespace persimmon::placement {

/// State that a domain owner tracks for one instance.
struct tracked_instance
{
  platform::listed_instance listed;
  /// The platform's latest list contains the instance.
  bool isListed = false;
  /// Last state that the instance reported.
  std::optional<member_state> state;
  /// When the read that returned `state` was sent.
  time_point stateReadSentAt;
  bool readInFlight = false;
  time_point readSentAt;
  time_point nextReadAt;
  /// Failed reads since the last successful read.
  unsigned consecutiveFailures = 0;
  /// Reads in a row whose connection was refused.
  unsigned consecutiveRefusals = 0;
  time_point firstFailure;
  bool orderInFlight = false;
  order_kind lastOrder = order_kind::load;
  time_point nextOrderAt;
  /// The instance is not assigned to groups before this time, because it was lost repeatedly or is
  /// a straggler.
  time_point excludedUntil;
  /// Losses since `firstLoss`.
  unsigned recentLosses = 0;
  time_point firstLoss;
  /// Consecutive reads of the head that reported a slow step of the instance.
  unsigned consecutiveSlowReads = 0;
  bool lost = false;

  /// Returns true when the instance checks tokens but has seen none as high as aToken, so that it
  /// takes orders of former owners still.
  [[nodiscard]] bool TakesOrdersBefore(fencing_token aToken) const
  {
    return listed.checksFencingTokens && state && state->token < aToken;
  }
};

/// Tracks the instances of one domain: when the state of each must be read, which are lost and
/// which can be assigned to a group.
class member_tracker
{
public:
  /// Applies the platform's list; aHeldElsewhere are instances in another domain's table.
  void OnListed(const std::vector<platform::listed_instance>& aInstances,
                const domain_id& aDomain,
                std::set<instance_id> aHeldElsewhere);
  /// Tracks the members in the table that are missing from the list, and removes instances that are
  /// in neither.
  void TrackMembersOf(const domain_table& aTable);
  /// Applies the result of a read. Returns false when no read of the instance is in flight.
  bool OnRead(const member_read& aEvent, const domain_table& aTable, time_point aNow);
  void OnOrderDone(const order_done& aEvent, time_point aNow);

  /// Sends the reads that are due and schedules earlier reads for members of groups in aTable that
  /// do not serve yet.
  void SendDueReads(const domain_table& aTable, time_point aNow, placement_actions& aActions);

  [[nodiscard]] const tracked_instance* Find(const instance_id& aInstance) const;
  tracked_instance* Find(const instance_id& aInstance);
  /// Returns whether a member is unknown, lost or restarted.
  [[nodiscard]] bool IsLost(const group_member& aMember) const;
  /// Returns whether an instance can be assigned to a group, provided that it is in none.
  [[nodiscard]] bool IsFree(const instance_id& aInstance, time_point aNow) const;
  [[nodiscard]] bool IsHeldByOtherDomain(const instance_id& aInstance) const;
  /// Returns the listed instances that are lost or excluded, in order of their ids.
  [[nodiscard]] std::vector<instance_id> UnavailableInstances(time_point aNow) const;
  [[nodiscard]] const std::map<instance_id, tracked_instance>& All() const { return mInstances; }
  /// Makes the read of an instance due at aNow.
  void ReadSoon(const instance_id& aInstance, time_point aNow);

private:
  void RecordAnswer(tracked_instance& aInstance, const member_state& aState, time_point aNow);
  void RecordFailure(tracked_instance& aInstance, bool aRefused, time_point aNow);
  void CountLoss(tracked_instance& aInstance, time_point aNow);
  void CheckMembersSeenByHead(const member_state& aHead,
                              const domain_table& aTable,
                              time_point aNow);
  void DetectStragglers(const member_state& aHead, time_point aNow);

  std::map<instance_id, tracked_instance> mInstances;
  std::set<instance_id> mHeldElsewhere;
};

} // namespace persimmon::placement
