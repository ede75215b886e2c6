#include "placement/planner.h"

#include "base/json.h"
#include "placement/internal/planbuilder.h"
#include "placement/placementevents.h"

#include <fmt/format.h>

namespace persimmon::placement {
namespace {

constexpr const char* kPlanName = "placement";
/// Delay before the next call after the object store failed one.
constexpr duration kStoreRetryDelay{ 500 };

std::string
RenderStatus(const unmet_service& aUnmet)
{
  return nlohmann::json{
    { "service", aUnmet.service.value },
    { "wanted", aUnmet.wanted },
    { "placed", aUnmet.placed },
    { "why", aUnmet.why }
  }.dump();
}

} // namespace

placement_plan
ComputePlan(const planner_input& aInput, const planner_options& aOptions)
{
  return plan_builder(aInput, aOptions).Build();
}

planner::planner(planner_options aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
planner::IsPlanKey(const platform::object_key& aKey)
{
  return aKey.kind == kPlanKind && aKey.name == kPlanName;
}

void
planner::SetPlan(revision aVersion, std::optional<placement_plan> aPlan)
{
  if (aVersion < mVersion || (mPlan && aVersion == mVersion)) {
    return;
  }
  mVersion = aVersion;
  if (aPlan) {
    mPlan = std::move(aPlan);
  }
  mDirty = true;
}

placement_actions
planner::Handle(const placement_event& aEvent, const planner_context& aContext, time_point aNow)
{
  placement_actions actions;
  if (const auto* listed = std::get_if<objects_listed>(&aEvent)) {
    OnListed(*listed, aNow);
  } else if (const auto* read = std::get_if<object_read>(&aEvent)) {
    OnRead(*read, aNow);
  } else if (const auto* written = std::get_if<object_written>(&aEvent)) {
    OnWritten(*written, aNow);
  }
  mStatusListed = mStatusListed && aContext.elected;
  if (aContext.elected && aNow >= mNextStoreCall) {
    WritePlan(aContext, aNow, actions);
    WriteStatusObjects(aNow, actions);
  }
  return actions;
}

void
planner::OnListed(const objects_listed& aEvent, time_point aNow)
{
  if (aEvent.kind != kStatusKind || !mStatusListInFlight) {
    return;
  }
  mStatusListInFlight = false;
  if (!aEvent.list) {
    mNextStoreCall = aNow + kStoreRetryDelay;
    return;
  }
  mStatusListed = true;
  mStatusWrites.clear();
  for (const platform::stored_object& object : aEvent.list->objects) {
    mStatusWrites[{ object.key.name }] = { object.value, false, false, true, object.version };
  }
}

void
planner::OnRead(const object_read& aEvent, time_point aNow)
{
  const bool failed = !aEvent.object && aEvent.error != platform::store_error::not_found;
  if (IsPlanKey(aEvent.key) && mReadInFlight) {
    mReadInFlight = false;
    mReadRequired = failed;
    mNextStoreCall = failed ? aNow + kStoreRetryDelay : mNextStoreCall;
    std::string problem;
    if (aEvent.object) {
      SetPlan(aEvent.object->version, ParsePlan(aEvent.object->value, problem));
    }
    return;
  }
  const auto status = mStatusWrites.find({ aEvent.key.name });
  if (aEvent.key.kind != kStatusKind || status == mStatusWrites.end() ||
      !status->second.readInFlight) {
    return;
  }
  status_write& write = status->second;
  write.readInFlight = false;
  mNextStoreCall = failed ? aNow + kStoreRetryDelay : mNextStoreCall;
  if (!failed) {
    write.version.reset();
    write.upToDate = aEvent.object ? aEvent.object->value == write.value : write.value.empty();
    write.writeRequired = !write.upToDate;
    if (aEvent.object) {
      write.version = aEvent.object->version;
    }
  }
}

void
planner::OnWritten(const object_written& aEvent, time_point aNow)
{
  if (IsPlanKey(aEvent.key) && mPendingWrite) {
    auto written = std::move(mPendingWrite);
    mPendingWrite.reset();
    if (aEvent.version) {
      SetPlan(*aEvent.version, std::move(written));
    } else {
      mReadRequired = true;
      mDirty = true;
      mNextStoreCall = aNow + kStoreRetryDelay;
    }
    return;
  }
  const auto status = mStatusWrites.find({ aEvent.key.name });
  if (aEvent.key.kind == kStatusKind && status != mStatusWrites.end()) {
    // After a failed write the object is read again before the next write.
    status->second.upToDate = aEvent.version.has_value();
    mNextStoreCall = aEvent.version ? mNextStoreCall : aNow + kStoreRetryDelay;
  }
}

void
planner::WritePlan(const planner_context& aContext, time_point, placement_actions& aActions)
{
  if (mReadInFlight || mPendingWrite) {
    return;
  }
  const platform::object_key key{ kPlanKind, kPlanName };
  if (mReadRequired) {
    mReadInFlight = true;
    aActions.emplace_back(read_object{ key });
    return;
  }
  if (!mDirty) {
    return;
  }
  mDirty = false;
  planner_input input = aContext.input;
  input.previous = Plan();
  placement_plan next = ComputePlan(input, mOptions);
  placement_plan compared = next;
  compared.planner = mPlan ? mPlan->planner : next.planner;
  if (mPlan && compared == *mPlan) {
    return;
  }
  LogChanges(next, aActions);
  platform::write_condition condition;
  if (mVersion != revision{}) {
    condition.expected = mVersion;
  }
  aActions.emplace_back(write_object{ key, RenderPlan(next), condition });
  mPendingWrite = std::move(next);
}

void
planner::LogChanges(const placement_plan& aNext, placement_actions& aActions) const
{
  aActions.emplace_back(log_decision{ kPlanChanged,
                                      {},
                                      {},
                                      {},
                                      fmt::format("shares={} stops={} loads={} unmet={}",
                                                  aNext.shares.size(),
                                                  aNext.stops.size(),
                                                  aNext.loads.size(),
                                                  aNext.unmet.size()) });
  for (const unmet_service& unmet : aNext.unmet) {
    aActions.emplace_back(log_decision{ kServiceUnmet, {}, {}, unmet.service.value, unmet.why });
  }
}

void
planner::WriteStatusObjects(time_point, placement_actions& aActions)
{
  if (!mPlan || mStatusListInFlight) {
    return;
  }
  if (!mStatusListed) {
    mStatusListInFlight = true;
    aActions.emplace_back(list_objects{ kStatusKind });
    return;
  }
  std::map<service_name, std::string> wanted;
  for (const auto& [service, write] : mStatusWrites) {
    wanted[service] = "";
  }
  for (const unmet_service& unmet : mPlan->unmet) {
    wanted[unmet.service] = RenderStatus(unmet);
  }
  for (const auto& [service, value] : wanted) {
    status_write& write = mStatusWrites[service];
    if (write.value != value) {
      write = { value, false, false, false, {} };
    }
    const platform::object_key key{ kStatusKind, service.value };
    if (write.writeRequired) {
      write.writeRequired = false;
      if (value.empty()) {
        aActions.emplace_back(delete_object{ key, *write.version });
      } else {
        aActions.emplace_back(write_object{ key, value, { write.version } });
      }
    } else if (!write.upToDate && !write.readInFlight) {
      write.readInFlight = true;
      aActions.emplace_back(read_object{ key });
    }
  }
}

} // namespace persimmon::placement
