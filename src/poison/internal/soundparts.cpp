#include "poison/soundparts.h"

#include <algorithm>

namespace persimmon::poison {

void
sound_parts::Record(std::uint64_t aPart, time_point aBegunAt)
{
  const auto found = mParts.find(aPart);
  if (found != mParts.end()) {
    found->second.begunAt = std::max(found->second.begunAt, aBegunAt);
    mByAge.splice(mByAge.end(), mByAge, found->second.position);
    return;
  }
  if (mParts.size() >= kMaxSoundParts) {
    mParts.erase(mByAge.front());
    mByAge.pop_front();
  }
  mParts[aPart] = { aBegunAt, mByAge.insert(mByAge.end(), aPart) };
}

std::optional<time_point>
sound_parts::LatestBegin(std::uint64_t aPart, time_point aNow) const
{
  const auto found = mParts.find(aPart);
  if (found == mParts.end() || found->second.begunAt + kSoundRunMemory <= aNow) {
    return std::nullopt;
  }
  return found->second.begunAt;
}

bool
sound_parts::HasHistory(std::uint64_t aPart, time_point aNow) const
{
  const auto found = mParts.find(aPart);
  return found != mParts.end() && aNow < found->second.begunAt + kSoundHistory;
}

void
sound_parts::Prune(time_point aNow)
{
  while (!mByAge.empty()) {
    const auto oldest = mParts.find(mByAge.front());
    if (aNow < oldest->second.begunAt + kSoundHistory) {
      return;
    }
    mParts.erase(oldest);
    mByAge.pop_front();
  }
}

} // namespace persimmon::poison
