#pragma once

#include "base/ids.h"
#include "poison/suspicionchanges.h"

#include <map>
#include <optional>
#include <string>

namespace persimmon::poison {

/// Longest pause before this process stores what another one observed, which usually stores it
/// itself.
constexpr duration kMaxStoreDelay = 2_s;
/// Pause after a failed write.
constexpr duration kStoreRetryDelay = 1_s;
/// Most crashes and most quarantines of requests that are stored; above it, the oldest are dropped.
/// Of parts of prompts, it is kMaxLastingParts.
constexpr std::size_t kMaxStored = 256;

/// A write of the stored object.
struct archive_write
{
  std::string text;
  /// Revision that the object must have; nothing when it must not exist.
  std::optional<revision> expected;
};

/// Decides what is written to the object in the platform's store that keeps quarantines, and the
/// crashes of requests close to one, while no process remembers them. All processes write the same
/// object: each adds what is missing, under the condition that the object has not changed since it
/// was read. Times in it are wall clock times. Does no I/O and reads no clock.
class suspicion_archive
{
public:
  /// aRandom, below 1, spreads the writes of different processes.
  explicit suspicion_archive(double aRandom);

  /// Handles the object as the store has it, or its absence. Returns what it contains.
  suspicion_changes OnRead(const std::string& aText,
                           std::optional<revision> aVersion,
                           time_point aWallTime);
  /// Returns the write that adds what is missing in the store, if it is time for one. With aUrgent,
  /// this process observed it and does not wait for others, except for its own write in progress. A
  /// write must be followed by OnWritten() or OnWriteFailed().
  std::optional<archive_write> NextWrite(const suspicion_changes& aEntries,
                                         bool aUrgent,
                                         time_point aNow,
                                         time_point aWallTime);
  void OnWritten(revision aVersion);
  /// Handles a failed write. With a conflict, the object must be read again first.
  void OnWriteFailed(time_point aNow);

private:
  /// A message whose age is replaced by a time of the wall clock.
  template<typename Message>
  struct archived
  {
    Message message;
    time_point at;
  };
  /// Fingerprint and crash; the crash is 0 for a quarantine.
  using archive_key = std::pair<std::uint64_t, std::uint64_t>;
  template<typename Message>
  using archive_map = std::map<archive_key, archived<Message>>;
  struct content
  {
    archive_map<peers::crash_message> crashes;
    archive_map<peers::quarantine_message> quarantines;
  };

  /// Adds what is missing or has a later version. Returns whether there was any.
  static bool Merge(content& aInto, const content& aFrom);
  [[nodiscard]] static content MakeContent(const suspicion_changes& aEntries, time_point aWallTime);
  [[nodiscard]] static content Parse(const std::string& aText);
  [[nodiscard]] static std::string Serialize(const content& aContent);
  static void DropExpired(content& aContent, time_point aWallTime);

  duration mDelay;
  bool mRead = false;
  /// Revision of the object; nothing when it does not exist.
  std::optional<revision> mVersion;
  content mStored;
  /// Content of the write in progress; nothing when there is none.
  std::optional<content> mWriting;
  /// Time from which what others observed is written.
  std::optional<time_point> mNotBefore;
  /// Time from which a failed write is repeated.
  std::optional<time_point> mRetryAt;
  /// True when this process observed something since the latest write began.
  bool mUrgent = false;
};

} // namespace persimmon::poison
