#include "ledger/ledgersweep.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace persimmon::ledger {
namespace {

constexpr int kFormat = 1;
/// Time between two rounds of one router, before jitter.
constexpr duration kRound = 60_s;
/// How long a router goes by the floor that it read.
constexpr duration kFreshFor = 300_s;
/// How long a slice stays announced before it is deleted; longer than kFreshFor and any call that
/// was accepted by an older floor.
constexpr duration kAnnounced = 600_s;
/// How far behind a router's clock may be without refusing keys that others still accept.
constexpr duration kClockMargin = 600_s;
/// How far one round moves the floor at most; bounds what a wrong clock can do in a round.
constexpr duration kMaxAdvance = 240_s;
/// Slices that one round deletes at most.
constexpr std::int64_t kMaxDropped = 60;

std::int64_t
FloorAt(time_point aWallNow)
{
  return SliceAt(aWallNow - kMaxKeyAge - kClockMargin);
}

} // namespace

std::optional<sweep_record>
ParseSweepRecord(std::string_view aText)
{
  const auto value = nlohmann::json::parse(aText, nullptr, false);
  try {
    if (value.at("format").get<int>() != kFormat) {
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
  const nlohmann::json value = { { "format", kFormat },
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
  } else if (const auto* dropped = std::get_if<delete_slice_done>(&aEvent)) {
    OnDropped(*dropped, actions);
  }
  return actions;
}

bool
ledger_sweep::IsFloorFresh(time_point aNow) const
{
  return mFreshSince && aNow - *mFreshSince <= kFreshFor;
}

bool
ledger_sweep::Accepts(std::int64_t aSlice) const
{
  return mRecord && aSlice >= mRecord->firstAcceptedSlice;
}

void
ledger_sweep::OnTick(const sweep_tick& aEvent, time_point aNow, action_list& aActions)
{
  const bool due = aNow >= mNextRound;
  if (due) {
    const auto jitter =
      static_cast<std::int64_t>(mRandom.Below(static_cast<std::uint64_t>(kRound.ms / 2)));
    mNextRound = aNow + kRound * 3 / 4 + duration{ jitter };
    aActions.emplace_back(sweep_wake{ mNextRound });
  }
  const bool wanted = due || (aEvent.floorNeeded && !IsFloorFresh(aNow));
  if (wanted && mPhase == phase::idle) {
    mPhase = phase::reading;
    mReadBegan = aNow;
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
      OnAbsent(aWallNow, aActions);
    }
    return;
  }
  const auto record = ParseSweepRecord(aEvent.object->value);
  if (!record) {
    return;
  }
  const bool quiet = mVersion == aEvent.object->version;
  mRecord = record;
  mVersion = aEvent.object->version;
  mFreshSince = mReadBegan;
  Remember(aNow);
  const bool useful = FloorAt(aWallNow) > record->firstAcceptedSlice ||
                      DroppableTo(aNow) > record->firstRemainingSlice;
  if (quiet && useful) {
    // Nobody has swept since this router's last read.
    Claim(aNow, aWallNow, aActions);
  }
}

void
ledger_sweep::OnAbsent(time_point aWallNow, action_list& aActions)
{
  mRecord = sweep_record{ FloorAt(aWallNow), FloorAt(aWallNow) };
  mVersion.reset();
  mDropTo = mRecord->firstRemainingSlice;
  Write(phase::claiming, aActions);
}

void
ledger_sweep::Claim(time_point aNow, time_point aWallNow, action_list& aActions)
{
  mDropTo = DroppableTo(aNow);
  const std::int64_t most = mRecord->firstAcceptedSlice + kMaxAdvance.ms / kSliceDuration.ms;
  mRecord->firstAcceptedSlice =
    std::max(mRecord->firstAcceptedSlice, std::min(FloorAt(aWallNow), most));
  Write(phase::claiming, aActions);
}

void
ledger_sweep::Write(phase aPhase, action_list& aActions)
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
  mFreshSince = mReadBegan;
  if (mDropTo > mRecord->firstRemainingSlice) {
    mPhase = phase::dropping;
    aActions.emplace_back(delete_slice{ mRecord->firstRemainingSlice });
  }
}

void
ledger_sweep::OnCreateFailed(platform::store_error aError, action_list& aActions)
{
  mRecord.reset();
  mFreshSince.reset();
  if (aError == platform::store_error::conflict) {
    // Another router was first.
    mPhase = phase::reading;
    aActions.emplace_back(sweep_read{});
  }
}

void
ledger_sweep::OnDropped(const delete_slice_done& aEvent, action_list& aActions)
{
  mPhase = phase::idle;
  if (!aEvent.complete) {
    Write(phase::recording, aActions);
    return;
  }
  mRecord->firstRemainingSlice = aEvent.slice + 1;
  if (mRecord->firstRemainingSlice < mDropTo) {
    mPhase = phase::dropping;
    aActions.emplace_back(delete_slice{ mRecord->firstRemainingSlice });
  } else {
    Write(phase::recording, aActions);
  }
}

void
ledger_sweep::Remember(time_point aNow)
{
  if (mSightings.empty() || mSightings.back().firstAcceptedSlice != mRecord->firstAcceptedSlice) {
    mSightings.push_back({ aNow, mRecord->firstAcceptedSlice });
  }
  while (mSightings.size() > 1 && aNow - mSightings[1].at >= kAnnounced) {
    mSightings.pop_front();
  }
}

std::int64_t
ledger_sweep::DroppableTo(time_point aNow) const
{
  const bool announced = !mSightings.empty() && aNow - mSightings.front().at >= kAnnounced;
  const std::int64_t most = mRecord->firstRemainingSlice + kMaxDropped;
  return announced ? std::min(mSightings.front().firstAcceptedSlice, most)
                   : mRecord->firstRemainingSlice;
}

} // namespace persimmon::ledger
