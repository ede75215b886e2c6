#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kMark = R"({"kind":"leaving","at":1000,"instance":"i","incarnation":2}
)";

verdict
CheckAfter(const std::string& aLines)
{
  return CheckLeavingUpstreams(MadeHistory(kMark + aLines), check_options{});
}

} // namespace

// clang-format off
TEST_GROUP(leaving_upstreams){};
// clang-format on

TEST(leaving_upstreams, WorkWithinTheBoundHolds)
{
  const verdict found = CheckAfter(
    R"({"kind":"attempted","at":6000,"process":"r1","request":"r","attempt":"a"}
{"kind":"started","at":9000,"attempt":"a","instance":"i","incarnation":2})");
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(leaving_upstreams, WorkAfterTheBoundIsFound)
{
  const verdict found = CheckAfter(
    R"({"kind":"attempted","at":6001,"process":"r1","request":"r","attempt":"a"}
{"kind":"started","at":6002,"attempt":"a","instance":"i","incarnation":2})");
  CHECK_EQUAL(1, found.violations.size());
  CHECK_EQUAL(3, found.violations[0].events.size());
}

TEST(leaving_upstreams, AnotherLifeMayWork)
{
  const verdict found =
    CheckAfter(R"({"kind":"started","at":9000,"attempt":"a","instance":"i","incarnation":3})");
  CHECK(found.violations.empty());
}

TEST(leaving_upstreams, GroupWithALeavingMemberIsFound)
{
  const verdict found = CheckAfter(
    R"({"kind":"membership","at":1100,"instance":"head","group":"g","generation":1,"members":["head","i"],"detail":"ready"}
{"kind":"started","at":9000,"attempt":"a","instance":"head","incarnation":1,"group":"g","generation":1})");
  CHECK_EQUAL(1, found.violations.size());
}

TEST(leaving_upstreams, TimeWithoutThePlatformDoesNotCount)
{
  const std::string work =
    R"({"kind":"attempted","at":9000,"process":"r1","request":"r","attempt":"a"}
{"kind":"started","at":9001,"attempt":"a","instance":"i","incarnation":2}
)";
  const std::string down = R"({"kind":"fault","at":900,"detail":"begin store_down"}
{"kind":"fault","at":5000,"detail":"end store_down"}
)";
  const std::string shorter = R"({"kind":"fault","at":900,"detail":"begin store_down"}
{"kind":"fault","at":2000,"detail":"end store_down"}
)";
  CHECK(CheckAfter(down + work).violations.empty());
  CHECK_EQUAL(1, CheckAfter(shorter + work).violations.size());
}
