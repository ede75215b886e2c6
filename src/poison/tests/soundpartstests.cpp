#include "poison/soundparts.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

constexpr time_point kNow{ 1000000 };

} // namespace

// clang-format off
TEST_GROUP(sound_parts)
{
  sound_parts parts;
};
// clang-format on

TEST(sound_parts, LatestBeginIsKeptForALimitedTime)
{
  parts.Record(1, kNow);
  parts.Record(1, kNow - 1_s);
  CHECK(parts.LatestBegin(1, kNow + kSoundRunMemory - 1_ms) == kNow);
  CHECK_FALSE(parts.LatestBegin(1, kNow + kSoundRunMemory));
  CHECK_FALSE(parts.LatestBegin(2, kNow));
  CHECK(parts.HasHistory(1, kNow + kSoundHistory - 1_ms));
  CHECK_FALSE(parts.HasHistory(1, kNow + kSoundHistory));
  CHECK_FALSE(parts.HasHistory(2, kNow));
  parts.Prune(kNow + kSoundHistory);
  CHECK_EQUAL(0, parts.Size());
}

// Guards against made-up parts that displace one that many requests have.
TEST(sound_parts, PartThatIsNotedOftenOutlastsAFloodOfOthers)
{
  for (std::uint64_t part = 10; part < 10 + 3 * kMaxSoundParts; ++part) {
    parts.Record(part, kNow);
    if (part % 1000 == 0) {
      parts.Record(1, kNow);
    }
  }
  CHECK_EQUAL(kMaxSoundParts, parts.Size());
  CHECK(parts.LatestBegin(1, kNow) == kNow);
}
