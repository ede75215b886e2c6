#pragma once

#include "base/random.h"
#include "placement/domaintable.h"
#include "placement/membertracker.h"
#include "placement/placementmessages.h"
#include "placement/placementplan.h"
#include "placement/placementpolicy.h"
#include "placement/placementweights.h"
#include "placement/servicecatalogue.h"

#include <map>
#include <memory>

namespace persimmon::placement {

struct group_transition;

struct owner_options
{
  placer_id self;
  placement_weights weights;
  /// Longest time that an order can be in flight after it was sent.
  duration longestOrder{ 5000 };
  placement_policy policy;
};

/// State of the rest of the placer that a domain owner needs to handle an event.
struct owner_context
{
  /// True while this placer is the rendezvous owner of the domain and holds its lease.
  bool owned = false;
  /// Boot-clock time from which no order may be sent.
  time_point orderDeadline;
  /// Increases each time the lease is gained after it was invalid.
  std::uint64_t leaseEpoch = 0;
  duration leaseLength;
  const service_catalogue& documents;
  /// Null until a plan was read; without a plan no group is formed or stopped.
  const placement_plan* plan = nullptr;
};

/// Controller of one fabric domain: maintains its table, forms and repairs groups, sends orders to
/// engines and reads their state. Emits actions only while this placer owns the domain.
class domain_owner
{
public:
  domain_owner(domain_id aDomain, owner_options aOptions, std::uint64_t aSeed);
  ~domain_owner();
  domain_owner(domain_owner&&) noexcept;
  domain_owner& operator=(domain_owner&&) noexcept;

  placement_actions Handle(const placement_event& aEvent,
                           const owner_context& aContext,
                           time_point aNow);
  /// Applies the platform's list of instances; aHeldElsewhere are those in another domain's table.
  void SetInstances(const std::vector<platform::listed_instance>& aInstances,
                    std::set<instance_id> aHeldElsewhere);
  /// Applies a version of the table from a list or watch. An empty aTable means that the object
  /// does not exist. Versions that are not newer are ignored.
  void SetTable(revision aVersion, std::optional<domain_table> aTable, time_point aNow);

  [[nodiscard]] const domain_table& Table() const { return mTable; }
  [[nodiscard]] revision Version() const { return mVersion; }
  [[nodiscard]] const member_tracker& Members() const { return mMembers; }

private:
  void OnRead(const object_read& aEvent, time_point aNow);
  void OnMemberRead(const member_read& aEvent, time_point aNow, placement_actions& aActions);
  void OnWritten(const object_written& aEvent, time_point aNow, placement_actions& aActions);
  void Reconcile(const owner_context& aContext, time_point aNow, placement_actions& aActions);
  void WriteTable(domain_table aNext, time_point aNow, placement_actions& aActions);
  void SendOrders(const owner_context& aContext, time_point aNow, placement_actions& aActions);
  void SendMemberOrder(const group& aGroup,
                       std::size_t aRank,
                       const owner_context& aContext,
                       time_point aNow,
                       placement_actions& aActions);
  void ReleaseUnused(const owner_context& aContext, time_point aNow, placement_actions& aActions);
  void SendOrder(tracked_instance& aInstance,
                 engine_order aOrder,
                 const owner_context& aContext,
                 time_point aNow,
                 placement_actions& aActions);
  [[nodiscard]] bool CanSendOrder(const tracked_instance& aInstance, time_point aNow) const;
  [[nodiscard]] bool IsOwnKey(const platform::object_key& aKey) const;
  [[nodiscard]] domain_table ComputeNextTable(const owner_context& aContext,
                                              time_point aNow,
                                              placement_actions& aActions);
  void UpdateTransitions(time_point aNow);

  domain_id mDomain;
  owner_options mOptions;
  random_source mRandom;
  member_tracker mMembers;
  domain_table mTable;
  /// Version of mTable; zero while the object does not exist.
  revision mVersion;
  /// A version of the table, or its absence, was read.
  bool mTableSeen = false;
  bool mReadInFlight = false;
  bool mReadRequired = false;
  /// A write based on the current version had an unknown outcome and may still be applied.
  bool mWriteOutcomeUnknown = false;
  std::optional<domain_table> mPendingWrite;
  /// Table version that the last write was based on.
  revision mPendingWriteBase;
  time_point mNextStoreCall;
  std::uint64_t mWriteCount = 0;
  /// Lease epoch in which the table was last read.
  std::uint64_t mVerifiedLeaseEpoch = 0;
  /// Lease epoch when the last read was sent.
  std::uint64_t mReadLeaseEpoch = 0;
  fencing_token mClaimedToken;
  /// Time from which the previous owner's orders can no longer take effect.
  time_point mPreviousOwnerExpiry;
  duration mLeaseLength;
  revision mAppliedByRouters;
  bool mWasOwned = false;
  std::map<group_id, group_transition> mTransitions;
};

} // namespace persimmon::placement
