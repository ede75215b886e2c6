#include "dispatch/upstreampauses.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::dispatch;

namespace {

constexpr time_point kStart{ 1000 };
const instance_id kUpstream{ "i-1" };
/// Nothing is known of when an incarnation began.
constexpr time_point kUnknown{ INT64_MAX / 2 };

} // namespace

// clang-format off
TEST_GROUP(upstream_pauses)
{
  upstream_pauses pauses;
};
// clang-format on

TEST(upstream_pauses, PauseHoldsUntilItsEnd)
{
  pauses.Record(kUpstream, { 5 }, 2_s, kStart);
  CHECK(pauses.Remaining(kUpstream, { 5 }, kUnknown, kStart + 500_ms) == 1500_ms);
  CHECK_FALSE(pauses.Remaining(kUpstream, { 5 }, kUnknown, kStart + 2_s).has_value());
  CHECK_FALSE(pauses.Remaining({ "i-2" }, { 5 }, kUnknown, kStart).has_value());
}

// Guards against a short pause that ends a longer one which was asked before.
TEST(upstream_pauses, OfSeveralPausesTheLatestEndCounts)
{
  pauses.Record(kUpstream, { 5 }, 3_s, kStart);
  pauses.Record(kUpstream, { 5 }, 1_s, kStart + 1_s);
  CHECK(pauses.Remaining(kUpstream, { 5 }, kUnknown, kStart + 1_s) == 2_s);
  pauses.Record(kUpstream, { 5 }, 4_s, kStart + 1_s);
  CHECK(pauses.Remaining(kUpstream, { 5 }, kUnknown, kStart + 1_s) == 4_s);
}

TEST(upstream_pauses, NewIncarnationHasNoPauseAndAnOldOneAsksForNone)
{
  pauses.Record(kUpstream, { 5 }, 3_s, kStart);
  CHECK_FALSE(pauses.Remaining(kUpstream, { 6 }, kUnknown, kStart).has_value());
  pauses.Record(kUpstream, { 6 }, 1_s, kStart);
  pauses.Record(kUpstream, { 5 }, 9_s, kStart);
  CHECK(pauses.Remaining(kUpstream, { 6 }, kUnknown, kStart) == 1_s);
}

TEST(upstream_pauses, PausesAreBoundedInLengthAndForgotten)
{
  pauses.Record(kUpstream, { 5 }, kMaxPause * 100, kStart);
  CHECK(pauses.Remaining(kUpstream, { 5 }, kUnknown, kStart) == kMaxPause);
  pauses.Prune(kStart + kMaxPause);
  CHECK_EQUAL(0, pauses.Count());
}

// Guards against a pause that ends when the registry shows the incarnation that asked for it: by
// then it was taken for the former one.
TEST(upstream_pauses, IncarnationThatMayHaveAskedKeepsThePause)
{
  pauses.Record(kUpstream, { 5 }, 3_s, kStart);
  CHECK(pauses.Remaining(kUpstream, { 6 }, kStart - 1_s, kStart + 1_s) == 2_s);
  CHECK_FALSE(pauses.Remaining(kUpstream, { 6 }, kStart + 1_s, kStart + 1_s).has_value());
  CHECK_FALSE(pauses.Remaining(kUpstream, { 4 }, kStart - 1_s, kStart + 1_s).has_value());
}
