#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace persimmon::gateway {

/// Number of gateways of each availability zone that read the store for all.
constexpr std::size_t kReadersPerZone = 3;

/// A live gateway that may read the store for others.
struct reader_candidate
{
  router_id id;
  zone_name zone;
  /// Part of a processor that it may use, in percent; 0 when it is not known.
  std::uint32_t processorPercent = 0;
};

/// Returns a processor quota, such as 0.25, in percent.
[[nodiscard]] std::uint32_t
ProcessorPercent(double aQuota);

/// Returns the gateways that read the store for all: of each availability zone those with the most
/// processor time, and among equal ones those that rendezvous hashing selects, so that all gateways
/// agree and few readers change when one ends.
[[nodiscard]] std::set<router_id>
ChooseStoreReaders(const std::vector<reader_candidate>& aLive);

/// Decides whether this gateway reads the store itself, or relies on the changes that the readers
/// publish in the mesh. One that hears of no recent read reads by itself. Does no I/O and reads no
/// clock.
class store_reading
{
public:
  /// aMaxAge is the age of the latest known read of the store at which this gateway reads itself.
  store_reading(router_id aSelf, duration aMaxAge);

  /// Chooses the readers among the live gateways.
  void SetLive(const std::vector<reader_candidate>& aLive);
  void SetMaxAge(duration aMaxAge) { mMaxAge = aMaxAge; }
  /// This gateway knows every change that was in the store at a time.
  void OnPosition(time_point aAsOf);
  /// This process was suspended, for a time that its clock has not counted.
  void OnSuspended();
  /// Returns whether this gateway is one of the chosen readers.
  [[nodiscard]] bool IsChosen() const { return mIsChosen; }
  [[nodiscard]] std::size_t ReaderCount() const { return mReaderCount; }
  [[nodiscard]] std::size_t LiveCount() const { return mLiveCount; }
  /// Returns whether this gateway must read the store now.
  [[nodiscard]] bool MustRead(time_point aNow) const;
  /// Age of the latest known read; long before the first.
  [[nodiscard]] duration Age(time_point aNow) const { return aNow - mAsOf; }

private:
  router_id mSelf;
  duration mMaxAge;
  bool mIsChosen = true;
  std::size_t mReaderCount = 1;
  std::size_t mLiveCount = 1;
  time_point mAsOf{ INT64_MIN / 2 };
};

/// Longest time that a reader's call waits for changes when others rely on it. It is drawn anew for
/// each call from half of it on, since changes end the calls of all readers at the same moment.
constexpr duration kReaderPollTimeout = 1_s;

/// Returns how long the next call of this gateway waits in the store for changes: aAlone when no
/// gateway relies on it. aRandom is from 0 to 1.
[[nodiscard]] duration
ReaderPollTimeout(const store_reading& aReading, duration aAlone, double aRandom);

/// Time that a gateway needs to read the store and to stop calls to an instance that has left.
constexpr duration kLeaveHandlingTime = 1200_ms;

/// Returns the age of the latest known read at which a gateway reads the store itself, so that it
/// notices the departure of an instance within aLeaveNotice.
[[nodiscard]] duration
MaxReadAge(duration aLeaveNotice);

} // namespace persimmon::gateway
