#include "ledger/ledgersweep.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace persimmon::ledger {
namespace {

constexpr int kFormatVersion = 1;
/// Mean time between two sweep rounds of one router; jitter varies it between 3/4 and 5/4.
constexpr duration kRoundInterval = 60_s;
/// How long a router accepts keys by a floor after reading it.
constexpr duration kFloorLifetime = 300_s;
/// Time between the announcement of a floor and the deletion of the slices below it. It is longer
/// than kFloorLifetime and than any call that was accepted by an older floor.
constexpr duration kAnnouncementPeriod = 600_s;
/// How far behind a router's wall clock may be without the router refusing keys that other routers
/// still accept.
constexpr duration kWallClockMargin = 600_s;
/// Maximum advance of the floor in one round; bounds the effect of a wrong clock.
constexpr duration kMaxFloorAdvance = 240_s;
/// Maximum number of slices that one round deletes.
constexpr std::int64_t kMaxSlicesDeletedPerRound = 60;

std::int64_t
FloorSliceAt(time_point aWallNow)
{
  return SliceAt(aWallNow - kMaxKeyAge - kWallClockMargin);
}

} // namespace

std::optional<sweep_record>
ParseSweepRecord(std::string_view aText)
{
  const auto value = nlohmann::json::parse(aText, nullptr, false);
  try {
    if (value.at("format").get<int>() != kFormatVersion) {
      return std::nullopt;
    }
    return sweep_record{ value.at("kept_from").get<std::int64_t>(),
                         value.at("dropped_to").get<std::int64_t>() };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string
RenderSweepRecord(const sweep_record& aRecord)
{
  const nlohmann::json value = { { "format", kFormatVersion },
                                 { "kept_from", aRecord.firstAcceptedSlice },
                                 { "dropped_to", aRecord.firstRemainingSlice } };
  return value.dump();
}

platform::object_key
SweepObjectKey()
{
  return { "ledger", "sweep" };
}

ledger_sweep::ledger_sweep(random_source aRandom)
  : mRandom(aRandom)
{
}

std::vector<sweep_action>
ledger_sweep::Handle(const sweep_event& aEvent, time_point aNow, time_point aWallNow)
{
  action_list actions;
  if (const auto* tick = std::get_if<sweep_tick>(&aEvent)) {
    OnTick(*tick, aNow, actions);
  } else if (const auto* read = std::get_if<sweep_read_done>(&aEvent)) {
    OnRead(*read, aNow, aWallNow, actions);
  } else if (const auto* written = std::get_if<sweep_write_done>(&aEvent)) {
    OnWritten(*written, actions);
  } else if (const auto* deleted = std::get_if<delete_slice_done>(&aEvent)) {
    OnSliceDeleted(*deleted, actions);
  }
  return actions;
}

bool
ledger_sweep::IsFloorFresh(time_point aNow) const
{
  return mFloorReadAt && aNow - *mFloorReadAt <= kFloorLifetime;
}

bool
ledger_sweep::Accepts(std::int64_t aSlice) const
{
  return mRecord && aSlice >= mRecord->firstAcceptedSlice;
}

void
ledger_sweep::OnTick(const sweep_tick& aEvent, time_point aNow, action_list& aActions)
{
  const bool roundDue = aNow >= mNextRoundAt;
  if (roundDue) {
    const auto jitter =
      static_cast<std::int64_t>(mRandom.Below(static_cast<std::uint64_t>(kRoundInterval.ms / 2)));
    mNextRoundAt = aNow + kRoundInterval * 3 / 4 + duration{ jitter };
    aActions.emplace_back(sweep_wake{ mNextRoundAt });
  }
  const bool readWanted = roundDue || (aEvent.floorNeeded && !IsFloorFresh(aNow));
  if (readWanted && mPhase == phase::idle) {
    mPhase = phase::reading;
    mReadStartedAt = aNow;
    aActions.emplace_back(sweep_read{});
  }
}

void
ledger_sweep::OnRead(const sweep_read_done& aEvent,
                     time_point aNow,
                     time_point aWallNow,
                     action_list& aActions)
{
  mPhase = phase::idle;
  if (!aEvent.object) {
    if (aEvent.error == platform::store_error::not_found) {
      OnMissingObject(aWallNow, aActions);
    }
    return;
  }
  const auto record = ParseSweepRecord(aEvent.object->value);
  if (!record) {
    return;
  }
  const bool unchanged = mVersion == aEvent.object->version;
  mRecord = record;
  mVersion = aEvent.object->version;
  mFloorReadAt = mReadStartedAt;
  RecordFloor(aNow);
  const bool hasWork = FloorSliceAt(aWallNow) > record->firstAcceptedSlice ||
                       DeletableBefore(aNow) > record->firstRemainingSlice;
  if (unchanged && hasWork) {
    // No router has swept since this router's last read.
    ClaimRound(aNow, aWallNow, aActions);
  }
}

void
ledger_sweep::OnMissingObject(time_point aWallNow, action_list& aActions)
{
  mRecord = sweep_record{ FloorSliceAt(aWallNow), FloorSliceAt(aWallNow) };
  mVersion.reset();
  mDeleteBefore = mRecord->firstRemainingSlice;
  WriteRecord(phase::claiming, aActions);
}

void
ledger_sweep::ClaimRound(time_point aNow, time_point aWallNow, action_list& aActions)
{
  mDeleteBefore = DeletableBefore(aNow);
  const std::int64_t limit = mRecord->firstAcceptedSlice + kMaxFloorAdvance.ms / kSliceDuration.ms;
  mRecord->firstAcceptedSlice =
    std::max(mRecord->firstAcceptedSlice, std::min(FloorSliceAt(aWallNow), limit));
  WriteRecord(phase::claiming, aActions);
}

void
ledger_sweep::WriteRecord(phase aPhase, action_list& aActions)
{
  mPhase = aPhase;
  aActions.emplace_back(sweep_write{ RenderSweepRecord(*mRecord), { mVersion } });
}

void
ledger_sweep::OnWritten(const sweep_write_done& aEvent, action_list& aActions)
{
  const bool claimed = mPhase == phase::claiming && aEvent.version;
  const bool creating = !mVersion;
  mPhase = phase::idle;
  mVersion = aEvent.version;
  if (creating && !aEvent.version) {
    OnCreateFailed(aEvent.error, aActions);
    return;
  }
  if (!claimed) {
    return;
  }
  mFloorReadAt = mReadStartedAt;
  if (mDeleteBefore > mRecord->firstRemainingSlice) {
    mPhase = phase::deleting;
    aActions.emplace_back(delete_slice{ mRecord->firstRemainingSlice });
  }
}

void
ledger_sweep::OnCreateFailed(platform::store_error aError, action_list& aActions)
{
  mRecord.reset();
  mFloorReadAt.reset();
  if (aError == platform::store_error::conflict) {
    // Another router created the object first.
    mPhase = phase::reading;
    aActions.emplace_back(sweep_read{});
  }
}

void
ledger_sweep::OnSliceDeleted(const delete_slice_done& aEvent, action_list& aActions)
{
  mPhase = phase::idle;
  if (!aEvent.complete) {
    WriteRecord(phase::recording, aActions);
    return;
  }
  mRecord->firstRemainingSlice = aEvent.slice + 1;
  if (mRecord->firstRemainingSlice < mDeleteBefore) {
    mPhase = phase::deleting;
    aActions.emplace_back(delete_slice{ mRecord->firstRemainingSlice });
  } else {
    WriteRecord(phase::recording, aActions);
  }
}

void
ledger_sweep::RecordFloor(time_point aNow)
{
  if (mFloorObservations.empty() ||
      mFloorObservations.back().firstAcceptedSlice != mRecord->firstAcceptedSlice) {
    mFloorObservations.push_back({ aNow, mRecord->firstAcceptedSlice });
  }
  while (mFloorObservations.size() > 1 && aNow - mFloorObservations[1].at >= kAnnouncementPeriod) {
    mFloorObservations.pop_front();
  }
}

std::int64_t
ledger_sweep::DeletableBefore(time_point aNow) const
{
  const bool announced =
    !mFloorObservations.empty() && aNow - mFloorObservations.front().at >= kAnnouncementPeriod;
  const std::int64_t limit = mRecord->firstRemainingSlice + kMaxSlicesDeletedPerRound;
  return announced ? std::min(mFloorObservations.front().firstAcceptedSlice, limit)
                   : mRecord->firstRemainingSlice;
}

} // namespace persimmon::ledger
