#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace persimmon::poison {

/// Most parts of prompts whose latest sound run is remembered. Above it, those go first whose
/// latest run was noted first; a part that many requests have is noted again and again.
constexpr std::size_t kMaxSoundParts = 4096;
/// Time for which the begin of a sound response matters.
constexpr duration kSoundRunMemory = 10_s;
/// Time for which it is remembered that a part was sound: as long as a first quarantine.
constexpr duration kSoundHistory = 600_s;

/// Remembers when a response that later proved sound last began for each part of a prompt. Does no
/// I/O and reads no clock.
class sound_parts
{
public:
  /// Records a sound response that began at aBegunAt.
  void Record(std::uint64_t aPart, time_point aBegunAt);
  /// Returns when the latest sound response with a part began; nothing when none did within
  /// kSoundRunMemory.
  [[nodiscard]] std::optional<time_point> LatestBegin(std::uint64_t aPart, time_point aNow) const;
  /// Returns whether a sound response with a part began within kSoundHistory.
  [[nodiscard]] bool HasHistory(std::uint64_t aPart, time_point aNow) const;
  void Prune(time_point aNow);
  [[nodiscard]] std::size_t Size() const { return mParts.size(); }

private:
  struct sound_part
  {
    time_point begunAt;
    /// Position in mByAge.
    std::list<std::uint64_t>::iterator position;
  };

  std::unordered_map<std::uint64_t, sound_part> mParts;
  /// Parts by the time at which they were last noted, oldest first.
  std::list<std::uint64_t> mByAge;
};

} // namespace persimmon::poison
