#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::check;

namespace {

placement::group
Group(const std::string& aId)
{
  return MadeGroup(aId, { { "i", 1 } });
}

} // namespace

// clang-format off
TEST_GROUP(single_membership){};
// clang-format on

TEST(single_membership, InstanceThatMovesAfterItsReleaseHolds)
{
  const verdict found = CheckSingleMembership(MadeHistory(AcceptedTable(1, "d", { Group("g") }) +
                                                          AcceptedTable(2, "d", {}) +
                                                          AcceptedTable(3, "e", { Group("h") })));
  CHECK_EQUAL(2, found.checked);
  CHECK(found.violations.empty());
}

TEST(single_membership, InstanceInTablesOfTwoDomainsIsFound)
{
  const verdict found = CheckSingleMembership(
    MadeHistory(AcceptedTable(1, "d", { Group("g") }) + AcceptedTable(2, "e", { Group("h") })));
  CHECK_EQUAL(1, found.violations.size());
  CHECK_EQUAL(2, found.violations[0].events.size());
}

TEST(single_membership, InstanceTwiceInOneTableIsFound)
{
  const verdict found =
    CheckSingleMembership(MadeHistory(AcceptedTable(1, "d", { Group("g"), Group("h") })));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(single_membership, GroupThatWorksOnAfterItsSuccessorIsFound)
{
  const std::string tables =
    AcceptedTable(1, "d", { Group("g") }) + AcceptedTable(2, "d", { Group("h") });
  const std::string first =
    R"({"kind":"started","at":10,"attempt":"a","instance":"i","group":"g","generation":1})";
  const std::string second =
    R"({"kind":"started","at":20,"attempt":"b","instance":"i","group":"h","generation":1})";
  const std::string late =
    R"({"kind":"started","at":30,"attempt":"c","instance":"i","group":"g","generation":1})";
  const std::string good = tables + first + "\n" + second + "\n";
  CHECK(CheckSingleMembership(MadeHistory(good)).violations.empty());
  const verdict found = CheckSingleMembership(MadeHistory(good + late + "\n"));
  CHECK_EQUAL(1, found.violations.size());
}
