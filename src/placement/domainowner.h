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

struct group_progress;

struct owner_options
{
  placer_id self;
  placement_weights weights;
  /// Longest time for which an order that was sent can still be under way.
  duration longestOrder{ 5000 };
  placement_policy policy;
};

/// What a domain's owner is told of the rest of the placer with each event.
struct owner_view
{
  /// The domain falls to this placer, and its lease holds.
  bool owned = false;
  /// Moment from which no order may be sent.
  time_point orderUntil;
  /// Changes when the lease was lost in between.
  std::uint64_t leaseEpoch = 0;
  duration leaseLength;
  const service_catalogue& documents;
  /// Absent until a plan was seen; then nothing is formed or stopped.
  const placement_plan* plan = nullptr;
};

/// Decides for one fabric domain: keeps its table, forms and repairs groups, orders engines and
/// reads them back. Only a placer that owns the domain acts.
class domain_owner
{
public:
  domain_owner(domain_name aDomain, owner_options aOptions, std::uint64_t aSeed);
  ~domain_owner();
  domain_owner(domain_owner&&) noexcept;
  domain_owner& operator=(domain_owner&&) noexcept;

  placement_actions Handle(const placement_event& aEvent, const owner_view& aView, time_point aNow);
  /// Takes the instances of all domains; aForeign are those that another domain's table holds.
  void SetInstances(const std::vector<platform::listed_instance>& aInstances,
                    std::set<instance_id> aForeign);
  /// Takes a version of the table from a list or watch; without a table the object is not there.
  void SetTable(revision aVersion, std::optional<domain_table> aTable, time_point aNow);

  [[nodiscard]] const domain_table& Table() const { return mTable; }
  [[nodiscard]] revision Version() const { return mVersion; }
  [[nodiscard]] const member_tracker& Members() const { return mMembers; }

private:
  void OnRead(const object_read& aEvent, time_point aNow);
  void OnMemberRead(const member_read& aEvent, time_point aNow, placement_actions& aActions);
  void OnWritten(const object_written& aEvent, time_point aNow, placement_actions& aActions);
  void Step(const owner_view& aView, time_point aNow, placement_actions& aActions);
  void Write(domain_table aNext, time_point aNow, placement_actions& aActions);
  void Order(const owner_view& aView, time_point aNow, placement_actions& aActions);
  void OrderMember(const group& aGroup,
                   std::size_t aRank,
                   const owner_view& aView,
                   time_point aNow,
                   placement_actions& aActions);
  void ReleaseUnused(const owner_view& aView, time_point aNow, placement_actions& aActions);
  void Send(tracked_instance& aInstance,
            engine_order aOrder,
            const owner_view& aView,
            time_point aNow,
            placement_actions& aActions);
  [[nodiscard]] bool MayOrder(const tracked_instance& aInstance, time_point aNow) const;
  [[nodiscard]] bool IsOwnKey(const platform::object_key& aKey) const;
  [[nodiscard]] domain_table Decide(const owner_view& aView,
                                    time_point aNow,
                                    placement_actions& aActions);
  void FollowProgress(time_point aNow);

  domain_name mDomain;
  owner_options mOptions;
  random_source mRandom;
  member_tracker mMembers;
  domain_table mTable;
  /// Zero while the object does not exist.
  revision mVersion;
  bool mKnown = false;
  bool mReading = false;
  bool mMustRead = false;
  /// A write from the present version may still be on its way.
  bool mUnsettled = false;
  std::optional<domain_table> mWriting;
  revision mBase;
  time_point mNextCall;
  std::uint64_t mWrites = 0;
  std::uint64_t mCheckedEpoch = 0;
  std::uint64_t mReadEpoch = 0;
  fencing_token mSettledToken;
  time_point mSettledAt;
  duration mLeaseLength;
  revision mApplied;
  bool mWasOwned = false;
  std::map<group_id, group_progress> mProgress;
};

} // namespace persimmon::placement
