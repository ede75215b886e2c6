#include "gateway/groupprober.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;
using fleet::fault_evidence;

// clang-format off
TEST_GROUP(group_recheck)
{
  fleet::engine_group group{ { "g" }, { 4 }, { "llm" }, { "pair" }, { { "a" }, { "b" } },
                             fleet::member_phase::open, true, false };
};
// clang-format on

TEST(group_recheck, OnlyMarkedGroupsAreAskedAgain)
{
  CHECK_FALSE(NeedsRecheck(group, std::nullopt));
  CHECK(NeedsRecheck(group, fault_evidence::silence));
  CHECK(NeedsRecheck(group, fault_evidence::proof));
}

// Guards against calls at a group that drains which stay stalled although it works, or open
// although it is lost: its mark was neither lifted nor raised to proof.
TEST(group_recheck, SilentGroupThatDrainsIsAskedAgain)
{
  group.draining = true;
  CHECK(NeedsRecheck(group, fault_evidence::silence));
  CHECK_FALSE(NeedsRecheck(group, fault_evidence::proof));
  // Without the entries of all its members nobody can tell that it is whole.
  group.complete = false;
  CHECK_FALSE(NeedsRecheck(group, fault_evidence::silence));
}
