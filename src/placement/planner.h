#pragma once

#include "placement/domaintable.h"
#include "placement/placementmessages.h"
#include "placement/placementplan.h"
#include "placement/placementpolicy.h"
#include "placement/placementweights.h"
#include "placement/servicecatalogue.h"

#include <map>
#include <set>

namespace persimmon::placement {

/// The newest table of each domain.
using table_map = std::map<domain_name, domain_table>;

/// What a plan is made of.
struct planner_input
{
  const service_catalogue& documents;
  const table_map& tables;
  const std::vector<platform::listed_instance>& instances;
  /// The plan in force, if any.
  const placement_plan* previous = nullptr;
};

struct planner_options
{
  placer_id self;
  placement_weights weights;
  /// Instances that may fetch weights at the same time.
  std::uint64_t loadSlots = 16;
  placement_policy policy;
};

/// Computes how many groups of each service each domain should have, which serving groups may
/// stop and which may load. The same input gives the same plan, and a plan that is carried out
/// gives itself again.
placement_plan
ComputePlan(const planner_input& aInput, const planner_options& aOptions);

/// What the planner is told of the rest of the placer with each event.
struct planner_view
{
  /// Planning falls to this placer, and its lease holds.
  bool elected = false;
  planner_input input;
};

/// Keeps the plan object, and a status object for each service that gets less than it asks for.
/// Only the elected placer writes.
class planner
{
public:
  explicit planner(planner_options aOptions);

  placement_actions Handle(const placement_event& aEvent,
                           const planner_view& aView,
                           time_point aNow);
  /// Takes a version of the plan from a list, read or watch.
  void SetPlan(revision aVersion, std::optional<placement_plan> aPlan);
  /// Marks that documents, tables or instances have changed.
  void MarkDirty() { mDirty = true; }
  /// The plan in force, if one was seen.
  [[nodiscard]] const placement_plan* Plan() const { return mPlan ? &*mPlan : nullptr; }

private:
  struct status_write
  {
    /// What the object should hold; empty when it should not exist.
    std::string value;
    bool reading = false;
    bool writing = false;
    bool done = false;
    std::optional<revision> version;
  };

  void OnListed(const objects_listed& aEvent, time_point aNow);
  void OnRead(const object_read& aEvent, time_point aNow);
  void OnWritten(const object_written& aEvent, time_point aNow);
  void WritePlan(const planner_view& aView, time_point aNow, placement_actions& aActions);
  void NoteChanges(const placement_plan& aNext, placement_actions& aActions) const;
  void WriteStatus(time_point aNow, placement_actions& aActions);
  [[nodiscard]] static bool IsPlanKey(const platform::object_key& aKey);

  planner_options mOptions;
  std::optional<placement_plan> mPlan;
  revision mVersion;
  bool mDirty = true;
  bool mReading = false;
  bool mMustRead = true;
  std::optional<placement_plan> mWriting;
  time_point mNextCall;
  std::map<service_name, status_write> mStatus;
  /// The status objects that an earlier planner left were read.
  bool mStatusListed = false;
  bool mListing = false;
};

} // namespace persimmon::placement
