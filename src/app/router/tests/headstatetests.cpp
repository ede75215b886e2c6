#include "app/router/headstate.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::router;

namespace {

placement::group
TwoMembers()
{
  placement::group group;
  group.id = { "g1" };
  group.version = { 7 };
  group.members = { { { "i1" }, { "127.0.0.1:1" }, { 3 } },
                    { { "i2" }, { "127.0.0.1:2" }, { 1 } } };
  return group;
}

std::string
StateWithSecondMember(const char* aIncarnation)
{
  return std::string(
           R"({"state":"ready","group":"g1","generation":7,"running":2,"queued":1,"members":[)") +
         R"({"instance":"i1","incarnation":3,"heard_ms":0,"generation":7,"state":"ready"},)" +
         R"({"instance":"i2","incarnation":)" + aIncarnation +
         R"(,"heard_ms":900,"generation":7,"state":"ready"}]})";
}

} // namespace

// clang-format off
TEST_GROUP(head_state)
{
  std::string problem;
};
// clang-format on

TEST(head_state, WholeGroupIsAsOldAsTheMemberHeardLast)
{
  const auto seen = ObserveGroup(TwoMembers(), StateWithSecondMember("1"), { "r1" }, problem);
  CHECK(seen->complete);
  CHECK_EQUAL(900, seen->age.ms);
}

TEST(head_state, RestartedMemberIsANewObservation)
{
  const auto seen = ObserveGroup(TwoMembers(), StateWithSecondMember("2"), { "r1" }, problem);
  CHECK_FALSE(seen->complete);
  CHECK_EQUAL(0, seen->age.ms);
}

TEST(head_state, AnswerThatIsNoStateIsAProblem)
{
  CHECK_FALSE(ObserveGroup(TwoMembers(), "busy", { "r1" }, problem).has_value());
  CHECK_FALSE(problem.empty());
}
