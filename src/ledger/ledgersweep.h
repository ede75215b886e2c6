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

/// Content of the object that says which slices are kept.
struct sweep_record
{
  /// Keys of earlier slices are accepted by no router.
  std::int64_t firstAcceptedSlice = 0;
  /// Objects of earlier slices are gone.
  std::int64_t firstRemainingSlice = 0;

  bool operator==(const sweep_record&) const = default;
};

/// Parses the sweep object; an empty result means that it cannot be read by this version.
std::optional<sweep_record>
ParseSweepRecord(std::string_view aText);

std::string
RenderSweepRecord(const sweep_record& aRecord);

/// Returns the platform's name of the sweep object.
platform::object_key
SweepObjectKey();

/// The time of a sweep_wake has come, or a caller needs a fresh floor.
struct sweep_tick
{
  /// True when a caller waits for the floor.
  bool floorNeeded = false;
};

/// A sweep_read ended; no object and no error means that it does not exist.
struct sweep_read_done
{
  std::optional<platform::stored_object> object;
  platform::store_error error = platform::store_error::none;
};

/// A sweep_write ended, with the new revision or an error.
struct sweep_write_done
{
  std::optional<revision> version;
  platform::store_error error = platform::store_error::none;
};

/// A delete_slice ended.
struct delete_slice_done
{
  std::int64_t slice = 0;
  /// False when an object of the slice may be left.
  bool complete = false;
};

using sweep_event = std::variant<sweep_tick, sweep_read_done, sweep_write_done, delete_slice_done>;

struct sweep_read
{};

struct sweep_write
{
  std::string value;
  platform::write_condition condition;
};

/// Delete all objects of a slice.
struct delete_slice
{
  std::int64_t slice = 0;
};

struct sweep_wake
{
  time_point at;
};

using sweep_action = std::variant<sweep_read, sweep_write, delete_slice, sweep_wake>;

/// Decides which slices a router accepts and which objects it deletes. A slice is first announced
/// as closed in the sweep object. It is deleted only when every router has seen that or takes its
/// own view for outdated, so a wrong wall clock can refuse keys but never lets a key run twice.
/// aNow is the router's boot clock, aWallNow its wall clock.
class ledger_sweep
{
public:
  explicit ledger_sweep(random_source aRandom);

  std::vector<sweep_action> Handle(const sweep_event& aEvent, time_point aNow, time_point aWallNow);

  /// True when the floor was read recently enough to accept keys by it.
  [[nodiscard]] bool IsFloorFresh(time_point aNow) const;
  /// True when keys of the slice are accepted; needs IsFloorFresh().
  [[nodiscard]] bool Accepts(std::int64_t aSlice) const;
  /// True when no call to the store is under way.
  [[nodiscard]] bool IsIdle() const { return mPhase == phase::idle; }

private:
  enum class phase
  {
    idle,
    reading,
    claiming,
    dropping,
    recording
  };

  struct sighting
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
  void OnAbsent(time_point aWallNow, action_list& aActions);
  void OnWritten(const sweep_write_done& aEvent, action_list& aActions);
  void OnCreateFailed(platform::store_error aError, action_list& aActions);
  void OnDropped(const delete_slice_done& aEvent, action_list& aActions);
  void Claim(time_point aNow, time_point aWallNow, action_list& aActions);
  void Write(phase aPhase, action_list& aActions);
  void Remember(time_point aNow);
  [[nodiscard]] std::int64_t DroppableTo(time_point aNow) const;

  random_source mRandom;
  phase mPhase = phase::idle;
  std::optional<sweep_record> mRecord;
  std::optional<revision> mVersion;
  time_point mReadBegan;
  time_point mNextRound;
  std::optional<time_point> mFreshSince;
  std::deque<sighting> mSightings;
  std::int64_t mDropTo = 0;
};

} // namespace persimmon::ledger
