#pragma once

#include "placement/domaintable.h"
#include "placement/placementmessages.h"

#include <map>
#include <set>

namespace persimmon::placement {

/// What a domain's owner knows of one instance.
struct tracked_instance
{
  platform::listed_instance listed;
  bool inList = false;
  /// Last state that the instance reported, in its present life as far as known.
  std::optional<member_state> state;
  /// When the read that brought the state was sent.
  time_point stateAsOf;
  bool reading = false;
  time_point readSent;
  time_point nextRead;
  /// Failed reads since the last answer.
  unsigned failures = 0;
  unsigned refusals = 0;
  time_point firstFailure;
  bool ordering = false;
  order_kind lastOrder = order_kind::load;
  time_point nextOrder;
  /// Kept out of groups until then, after repeated losses or as a straggler.
  time_point excludedUntil;
  /// Losses since `firstLoss`.
  unsigned losses = 0;
  time_point firstLoss;
  /// Slow steps seen in a row by the head.
  unsigned slowSteps = 0;
  bool lost = false;
};

/// Follows the instances of one domain: when each is to be read, which are lost and which are
/// free for a group.
class member_tracker
{
public:
  /// Takes the platform's list; aForeign are instances that another domain's table still holds.
  void OnListed(const std::vector<platform::listed_instance>& aInstances,
                const domain_name& aDomain,
                std::set<instance_id> aForeign);
  /// Follows the members of the table that the list does not show.
  void OnTable(const domain_table& aTable);
  /// Takes the answer to a read. Returns whether the instance is known.
  bool OnRead(const member_read& aEvent, const domain_table& aTable, time_point aNow);
  void OnOrderDone(const order_done& aEvent, time_point aNow);

  /// Asks the instances that are due; aTable tells which of them are heads or about to serve.
  void Read(const domain_table& aTable, time_point aNow, placement_actions& aActions);

  [[nodiscard]] const tracked_instance* Find(const instance_id& aInstance) const;
  tracked_instance* Find(const instance_id& aInstance);
  /// Returns whether a member is gone, or lives a new life.
  [[nodiscard]] bool IsLost(const group_member& aMember) const;
  /// Returns whether an instance that is in no group may be given one.
  [[nodiscard]] bool IsFree(const instance_id& aInstance, time_point aNow) const;
  [[nodiscard]] bool IsForeign(const instance_id& aInstance) const;
  /// Instances that the list shows and that no group may be given, in order.
  [[nodiscard]] std::vector<instance_id> Absent(time_point aNow) const;
  [[nodiscard]] const std::map<instance_id, tracked_instance>& All() const { return mInstances; }
  /// Reads an instance at the next opportunity.
  void ReadSoon(const instance_id& aInstance, time_point aNow);

private:
  void Answered(tracked_instance& aInstance, const member_state& aState, time_point aNow);
  void Failed(tracked_instance& aInstance, bool aRefused, time_point aNow);
  void CountLoss(tracked_instance& aInstance, time_point aNow);
  void LookThroughHead(const member_state& aHead, const domain_table& aTable, time_point aNow);
  void JudgeSteps(const member_state& aHead, time_point aNow);

  std::map<instance_id, tracked_instance> mInstances;
  std::set<instance_id> mForeign;
};

} // namespace persimmon::placement
