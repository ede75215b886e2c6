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

/// Newest table of each domain.
using table_map = std::map<domain_id, domain_table>;

/// Input of ComputePlan.
struct planner_input
{
  const service_catalogue& documents;
  const table_map& tables;
  const std::vector<platform::listed_instance>& instances;
  /// Newest plan; null when there is none.
  const placement_plan* previous = nullptr;
};

struct planner_options
{
  placer_id self;
  placement_weights weights;
  /// Maximum number of instances that load weights at the same time.
  std::uint64_t loadSlots = 16;
  placement_policy policy;
};

/// Computes how many groups of each service each domain should have, which groups to stop and which
/// may load weights. The function is deterministic, and once a plan is carried out the next one
/// equals it.
placement_plan
ComputePlan(const planner_input& aInput, const planner_options& aOptions);

/// State of the rest of the placer that the planner needs to handle an event.
struct planner_context
{
  /// True while this placer is the elected planner and holds its lease.
  bool elected = false;
  planner_input input;
};

/// Maintains the plan object and a status object for each service with fewer planned groups than it
/// requests. Writes only while this placer is elected.
class planner
{
public:
  explicit planner(planner_options aOptions);

  placement_actions Handle(const placement_event& aEvent,
                           const planner_context& aContext,
                           time_point aNow);
  /// Applies a version of the plan from a list, read or watch. Older versions are ignored.
  void SetPlan(revision aVersion, std::optional<placement_plan> aPlan);
  /// Requests a new plan because documents, tables or instances have changed.
  void MarkDirty() { mDirty = true; }
  /// Returns the newest plan; null until a plan was read.
  [[nodiscard]] const placement_plan* Plan() const { return mPlan ? &*mPlan : nullptr; }

private:
  struct status_write
  {
    /// Desired value of the object; empty when the object should not exist.
    std::string value;
    bool readInFlight = false;
    /// The object was read and differs from `value`.
    bool writeRequired = false;
    bool upToDate = false;
    /// Version of the object; empty when it does not exist.
    std::optional<revision> version;
  };

  void OnListed(const objects_listed& aEvent, time_point aNow);
  void OnRead(const object_read& aEvent, time_point aNow);
  void OnWritten(const object_written& aEvent, time_point aNow);
  void WritePlan(const planner_context& aContext, time_point aNow, placement_actions& aActions);
  void LogChanges(const placement_plan& aNext, placement_actions& aActions) const;
  void WriteStatusObjects(time_point aNow, placement_actions& aActions);
  [[nodiscard]] static bool IsPlanKey(const platform::object_key& aKey);

  planner_options mOptions;
  std::optional<placement_plan> mPlan;
  revision mVersion;
  bool mDirty = true;
  bool mReadInFlight = false;
  bool mReadRequired = true;
  std::optional<placement_plan> mPendingWrite;
  time_point mNextStoreCall;
  std::map<service_name, status_write> mStatusWrites;
  /// The status objects written by earlier planners were listed.
  bool mStatusListed = false;
  bool mStatusListInFlight = false;
};

} // namespace persimmon::placement
