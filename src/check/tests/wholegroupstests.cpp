#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kReady =
  R"({"kind":"membership","at":10,"instance":"i0","incarnation":1,"group":"g","generation":1,"detail":"ready"}
{"kind":"membership","at":10,"instance":"i1","incarnation":3,"group":"g","generation":1,"detail":"ready"}
)";

verdict
CheckAfter(const std::string& aLines)
{
  const std::string table = AcceptedTable(1, "d", { MadeGroup("g", { { "i0", 1 }, { "i1", 3 } }) });
  return CheckWholeGroups(MadeHistory(table + kReady + aLines), check_options{});
}

} // namespace

// clang-format off
TEST_GROUP(whole_groups){};
// clang-format on

TEST(whole_groups, RequestInAWholeGroupHolds)
{
  const verdict found = CheckAfter(
    R"({"kind":"started","at":20,"attempt":"a","instance":"i0","group":"g","generation":1})");
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(whole_groups, RequestLongAfterAMembersDeathIsFoundWithTheDeath)
{
  const verdict found = CheckAfter(
    R"({"kind":"membership","at":100,"instance":"i1","incarnation":3,"group":"g","generation":1,"detail":"died"}
{"kind":"started","at":2701,"attempt":"a","instance":"i0","group":"g","generation":1})");
  CHECK_EQUAL(1, found.violations.size());
  CHECK_EQUAL(2, found.violations[0].events.size());
  CHECK_EQUAL(4, found.violations[0].events[0]->line);
}

TEST(whole_groups, RequestWithinTheTimeToNoticeHolds)
{
  const verdict found = CheckAfter(
    R"({"kind":"membership","at":100,"instance":"i1","incarnation":3,"group":"g","generation":1,"detail":"died"}
{"kind":"started","at":2600,"attempt":"a","instance":"i0","group":"g","generation":1})");
  CHECK(found.violations.empty());
}

TEST(whole_groups, MemberInANewLifeDoesNotCount)
{
  const verdict found = CheckAfter(
    R"({"kind":"membership","at":100,"instance":"i1","incarnation":4,"group":"g","generation":1,"detail":"ready"}
{"kind":"started","at":3000,"attempt":"a","instance":"i0","group":"g","generation":1})");
  CHECK_EQUAL(1, found.violations.size());
}

TEST(whole_groups, MemberInAnotherGenerationDoesNotCount)
{
  const verdict found = CheckAfter(
    R"({"kind":"membership","at":100,"instance":"i1","incarnation":3,"group":"g","generation":2,"detail":"ready"}
{"kind":"started","at":3000,"attempt":"a","instance":"i0","group":"g","generation":1})");
  CHECK_EQUAL(1, found.violations.size());
}

TEST(whole_groups, MemberThatWakesFromAPauseCountsAgain)
{
  const verdict found = CheckAfter(
    R"({"kind":"membership","at":100,"instance":"i1","incarnation":3,"group":"g","generation":1,"detail":"paused"}
{"kind":"started","at":2900,"attempt":"a","instance":"i0","group":"g","generation":1}
{"kind":"membership","at":3000,"instance":"i1","incarnation":3,"group":"g","generation":1,"detail":"resumed"}
{"kind":"started","at":3100,"attempt":"b","instance":"i0","group":"g","generation":1})");
  CHECK_EQUAL(2, found.checked);
  CHECK_EQUAL(1, found.violations.size());
}

TEST(whole_groups, RequestSentInTimeMayStartLate)
{
  const verdict found = CheckAfter(
    R"({"kind":"attempted","at":90,"request":"r","attempt":"a"}
{"kind":"membership","at":100,"instance":"i1","incarnation":3,"group":"g","generation":1,"detail":"died"}
{"kind":"started","at":9000,"attempt":"a","instance":"i0","group":"g","generation":1})");
  CHECK(found.violations.empty());
}

TEST(whole_groups, GroupThatNobodyKnowsIsFound)
{
  const verdict found = CheckAfter(
    R"({"kind":"started","at":20,"attempt":"a","instance":"i0","group":"other","generation":1})");
  CHECK_EQUAL(1, found.violations.size());
}
