#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kWorking =
  R"({"kind":"membership","at":1,"instance":"i0","incarnation":1,"group":"g","generation":1,"members":["i0","i1"],"detail":"ready"}
{"kind":"membership","at":1,"instance":"i1","incarnation":1,"group":"g","generation":1,"members":["i0","i1"],"detail":"ready"}
{"kind":"ordered","at":5,"instance":"i0","group":"g","generation":1,"detail":"drain"}
)";

const std::string kLost =
  R"({"kind":"cut","at":300,"attempt":"a","instance":"i0","group":"g","generation":1,"detail":"member_missing"}
)";

} // namespace

// clang-format off
TEST_GROUP(graceful_stops){};
// clang-format on

TEST(graceful_stops, CutByACrashOrALeavingCallerHolds)
{
  const verdict found = CheckGracefulStops(
    MadeHistory(kWorking + R"({"kind":"cut","at":9,"attempt":"a","instance":"i0","detail":"crashed"}
{"kind":"cut","at":9,"attempt":"b","instance":"i0","detail":"caller_left"})"));
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(graceful_stops, CutByAnOrderIsFoundWithTheOrder)
{
  const verdict found = CheckGracefulStops(
    MadeHistory(kWorking + R"({"kind":"ordered","at":8,"instance":"i0","detail":"release"}
{"kind":"cut","at":8,"attempt":"a","instance":"i0","group":"g","generation":1,"detail":"released"})"));
  CHECK_EQUAL(1, found.violations.size());
  CHECK_EQUAL(2, found.violations[0].events.size());
  CHECK_EQUAL(4, found.violations[0].events[0]->line);
}

TEST(graceful_stops, MemberOrderedAwayUnderARequestIsFound)
{
  const verdict found = CheckGracefulStops(
    MadeHistory(kWorking +
                R"({"kind":"membership","at":10,"instance":"i1","incarnation":1,"detail":"idle"}
)" + kLost));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(graceful_stops, MemberThatDiedUnderARequestHolds)
{
  const verdict found = CheckGracefulStops(MadeHistory(
    kWorking +
    R"({"kind":"membership","at":10,"instance":"i1","incarnation":1,"group":"g","generation":1,"detail":"died"}
)" + kLost));
  CHECK(found.violations.empty());
}

TEST(graceful_stops, CallBrokenOffByARoutersPlannedStopIsFound)
{
  const std::string stop =
    R"({"kind":"fault","at":50,"instance":"r1","object":"127.0.0.1:1","detail":"begin stop"}
)";
  const std::string call = R"({"kind":"invoked","at":40,"call":"1.1","instance":"127.0.0.1:1"}
)";
  const std::string broken = R"({"kind":"refused","at":60,"call":"1.1","detail":"unfinished"})";
  const std::string answered = R"({"kind":"answered","at":60,"call":"1.1"})";
  CHECK_EQUAL(1, CheckGracefulStops(MadeHistory(call + stop + broken)).violations.size());
  CHECK(CheckGracefulStops(MadeHistory(call + stop + answered)).violations.empty());
}
