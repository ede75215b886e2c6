#include "placement/planner.h"

#include "base/json.h"
#include "placement/internal/planbuilder.h"
#include "placement/placementevents.h"

#include <fmt/format.h>

namespace persimmon::placement {
namespace {

constexpr const char* kPlanName = "placement";
/// After a call that the platform did not take.
constexpr duration kCallRetry{ 500 };

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
planner::Handle(const placement_event& aEvent, const planner_view& aView, time_point aNow)
{
  placement_actions actions;
  if (const auto* listed = std::get_if<objects_listed>(&aEvent)) {
    OnListed(*listed, aNow);
  } else if (const auto* read = std::get_if<object_read>(&aEvent)) {
    OnRead(*read, aNow);
  } else if (const auto* written = std::get_if<object_written>(&aEvent)) {
    OnWritten(*written, aNow);
  }
  mStatusListed = mStatusListed && aView.elected;
  if (aView.elected && aNow >= mNextCall) {
    WritePlan(aView, aNow, actions);
    WriteStatus(aNow, actions);
  }
  return actions;
}

void
planner::OnListed(const objects_listed& aEvent, time_point aNow)
{
  if (aEvent.kind != kStatusKind || !mListing) {
    return;
  }
  mListing = false;
  if (!aEvent.list) {
    mNextCall = aNow + kCallRetry;
    return;
  }
  mStatusListed = true;
  mStatus.clear();
  for (const platform::stored_object& object : aEvent.list->objects) {
    mStatus[{ object.key.name }] = { object.value, false, false, true, object.version };
  }
}

void
planner::OnRead(const object_read& aEvent, time_point aNow)
{
  const bool failed = !aEvent.object && aEvent.error != platform::store_error::not_found;
  if (IsPlanKey(aEvent.key) && mReading) {
    mReading = false;
    mMustRead = failed;
    mNextCall = failed ? aNow + kCallRetry : mNextCall;
    std::string problem;
    if (aEvent.object) {
      SetPlan(aEvent.object->version, ParsePlan(aEvent.object->value, problem));
    }
    return;
  }
  const auto status = mStatus.find({ aEvent.key.name });
  if (aEvent.key.kind != kStatusKind || status == mStatus.end() || !status->second.reading) {
    return;
  }
  status_write& write = status->second;
  write.reading = false;
  mNextCall = failed ? aNow + kCallRetry : mNextCall;
  if (!failed) {
    write.version.reset();
    write.done = aEvent.object ? aEvent.object->value == write.value : write.value.empty();
    write.writing = !write.done;
    if (aEvent.object) {
      write.version = aEvent.object->version;
    }
  }
}

void
planner::OnWritten(const object_written& aEvent, time_point aNow)
{
  if (IsPlanKey(aEvent.key) && mWriting) {
    auto written = std::move(mWriting);
    mWriting.reset();
    if (aEvent.version) {
      SetPlan(*aEvent.version, std::move(written));
    } else {
      mMustRead = true;
      mDirty = true;
      mNextCall = aNow + kCallRetry;
    }
    return;
  }
  const auto status = mStatus.find({ aEvent.key.name });
  if (aEvent.key.kind == kStatusKind && status != mStatus.end()) {
    // After anything but success the object is read again before the next write.
    status->second.done = aEvent.version.has_value();
    mNextCall = aEvent.version ? mNextCall : aNow + kCallRetry;
  }
}

void
planner::WritePlan(const planner_view& aView, time_point, placement_actions& aActions)
{
  if (mReading || mWriting) {
    return;
  }
  const platform::object_key key{ kPlanKind, kPlanName };
  if (mMustRead) {
    mReading = true;
    aActions.emplace_back(read_object{ key });
    return;
  }
  if (!mDirty) {
    return;
  }
  mDirty = false;
  planner_input input = aView.input;
  input.previous = Plan();
  placement_plan next = ComputePlan(input, mOptions);
  placement_plan compared = next;
  compared.planner = mPlan ? mPlan->planner : next.planner;
  if (mPlan && compared == *mPlan) {
    return;
  }
  NoteChanges(next, aActions);
  platform::write_condition condition;
  if (mVersion != revision{}) {
    condition.expected = mVersion;
  }
  aActions.emplace_back(write_object{ key, RenderPlan(next), condition });
  mWriting = std::move(next);
}

void
planner::NoteChanges(const placement_plan& aNext, placement_actions& aActions) const
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
planner::WriteStatus(time_point, placement_actions& aActions)
{
  if (!mPlan || mListing) {
    return;
  }
  if (!mStatusListed) {
    mListing = true;
    aActions.emplace_back(list_objects{ kStatusKind });
    return;
  }
  std::map<service_name, std::string> wanted;
  for (const auto& [service, write] : mStatus) {
    wanted[service] = "";
  }
  for (const unmet_service& unmet : mPlan->unmet) {
    wanted[unmet.service] = RenderStatus(unmet);
  }
  for (const auto& [service, value] : wanted) {
    status_write& write = mStatus[service];
    if (write.value != value) {
      write = { value, false, false, false, {} };
    }
    const platform::object_key key{ kStatusKind, service.value };
    if (write.writing) {
      write.writing = false;
      if (value.empty()) {
        aActions.emplace_back(delete_object{ key, *write.version });
      } else {
        aActions.emplace_back(write_object{ key, value, { write.version } });
      }
    } else if (!write.done && !write.reading) {
      write.reading = true;
      aActions.emplace_back(read_object{ key });
    }
  }
}

} // namespace persimmon::placement
