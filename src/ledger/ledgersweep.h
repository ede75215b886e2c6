#pragma once

#include "base/random.h"
#include "ledger/ledgerlayout.h"
#include "platform/storeerror.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon::ledger {

/// Content of the sweep object, which records the slices that are accepted and stored.
struct sweep_record
{
  /// The floor: no router accepts keys of earlier slices.
  std::int64_t firstAcceptedSlice = 0;
  /// All objects of earlier slices are deleted.
  std::int64_t firstRemainingSlice = 0;

  bool operator==(const sweep_record&) const = default;
};

/// Parses the sweep object; returns an empty result when this version cannot read it.
std::optional<sweep_record>
ParseSweepRecord(std::string_view aText);

/// Renders the value of the sweep object.
std::string
RenderSweepRecord(const sweep_record& aRecord);

/// Returns the key of the sweep object in the platform's store.
platform::object_key
SweepObjectKey();

/// The time of a sweep_wake was reached, or a caller needs a fresh floor.
struct sweep_tick
{
  /// True when a caller waits for the floor.
  bool floorNeeded = false;
};

/// A sweep_read completed.
struct sweep_read_done
{
  std::optional<platform::stored_object> object;
  platform::store_error error = platform::store_error::none;
};

/// A sweep_write completed, with the new revision or an error.
struct sweep_write_done
{
  std::optional<revision> version;
  platform::store_error error = platform::store_error::none;
};

/// A delete_slice completed.
struct delete_slice_done
{
  std::int64_t slice = 0;
  /// False when an object of the slice may still exist.
  bool complete = false;
};

using sweep_event = std::variant<sweep_tick, sweep_read_done, sweep_write_done, delete_slice_done>;

/// Reads the sweep object.
struct sweep_read
{};

/// Writes the sweep object conditionally.
struct sweep_write
{
  std::string value;
  platform::write_condition condition;
};

/// Deletes all shard objects of a slice.
struct delete_slice
{
  std::int64_t slice = 0;
};

/// Requests a sweep_tick at this time.
struct sweep_wake
{
  time_point at;
};

using sweep_action = std::variant<sweep_read, sweep_write, delete_slice, sweep_wake>;

/// Decides which slices a router accepts and which shard objects it deletes. The sweep object first
/// announces that a slice is no longer accepted. The slice is deleted only after every router has
/// either read the announcement or treats its own floor as outdated. A wrong wall clock can
/// therefore cause keys to be refused, but never a second execution under the same key. aNow is the
/// router's boot clock, aWallNow its wall clock.
class ledger_sweep
{
public:
  explicit ledger_sweep(random_source aRandom);

  /// Processes an event and returns the actions that the caller must carry out.
  std::vector<sweep_action> Handle(const sweep_event& aEvent, time_point aNow, time_point aWallNow);

  /// Returns true when the floor was read recently enough to accept keys by it.
  [[nodiscard]] bool IsFloorFresh(time_point aNow) const;
  /// Returns true when keys of the slice are accepted; valid only while IsFloorFresh().
  [[nodiscard]] bool Accepts(std::int64_t aSlice) const;
  /// Returns true when no store call is in flight.
  [[nodiscard]] bool IsIdle() const { return mPhase == phase::idle; }

private:
  enum class phase
  {
    idle,
    reading,
    claiming,
    deleting,
    recording
  };

  /// A floor that was read from the sweep object, and when it was first read.
  struct floor_observation
  {
    time_point at;
    std::int64_t firstAcceptedSlice = 0;
  };

  using action_list = std::vector<sweep_action>;

  void OnTick(const sweep_tick& aEvent, time_point aNow, action_list& aActions);
  void OnRead(const sweep_read_done& aEvent,
              time_point aNow,
              time_point aWallNow,
              action_list& aActions);
  void OnMissingObject(time_point aWallNow, action_list& aActions);
  void OnWritten(const sweep_write_done& aEvent, action_list& aActions);
  void OnCreateFailed(platform::store_error aError, action_list& aActions);
  void OnSliceDeleted(const delete_slice_done& aEvent, action_list& aActions);
  void ClaimRound(time_point aNow, time_point aWallNow, action_list& aActions);
  void WriteRecord(phase aPhase, action_list& aActions);
  void RecordFloor(time_point aNow);
  [[nodiscard]] std::int64_t DeletableBefore(time_point aNow) const;

  random_source mRandom;
  phase mPhase = phase::idle;
  std::optional<sweep_record> mRecord;
  std::optional<revision> mVersion;
  time_point mReadStartedAt;
  time_point mNextRoundAt;
  std::optional<time_point> mFloorReadAt;
  std::deque<floor_observation> mFloorObservations;
  std::int64_t mDeleteBefore = 0;
};

} // namespace persimmon::ledger
