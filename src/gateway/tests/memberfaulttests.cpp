#include "gateway/memberfault.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(member_fault)
{
  fleet::engine_group group{ { "g" }, { 4 }, { "llm" }, { "pair" }, { { "a" }, { "b" } }, {}, true, false };
  fleet::engine_report report;

  void setup() override
  {
    report.incarnationId = { 9 };
    report.membership = fleet::group_membership{ { "g" }, { 4 }, 1, fleet::member_phase::ready };
  }

  bool HasNoFault() { return FindMemberFault(group, { "b" }, { 9 }, report).empty(); }
};
// clang-format on

TEST(member_fault, MemberThatReportsItsGroupAndEpochHasNoFault)
{
  CHECK(HasNoFault());
}

TEST(member_fault, MissingReportRestartAndOtherMembershipAreFaults)
{
  CHECK_FALSE(FindMemberFault(group, { "b" }, { 9 }, std::nullopt).empty());
  report.incarnationId = { 10 };
  CHECK_FALSE(HasNoFault());
  report.incarnationId = { 9 };
  report.membership->epoch = { 5 };
  CHECK_FALSE(HasNoFault());
  report.membership.reset();
  CHECK_FALSE(HasNoFault());
}

TEST(member_fault, BrokenPhaseIsAFault)
{
  report.membership->phase = fleet::member_phase::broken;
  CHECK_FALSE(HasNoFault());
}
