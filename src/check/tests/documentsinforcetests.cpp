#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kAccepted =
  R"({"kind":"applied","at":1,"process":"r1","object":"domain/d","revision":1}
{"kind":"applied","at":1,"process":"r2","object":"domain/d","revision":1}
{"kind":"accepted","at":1,"object":"domain/d","revision":1}
{"kind":"accepted","at":100,"object":"service/s","revision":5,"detail":"{}"}
)";

const std::string kFirstRouter =
  R"({"kind":"applied","at":200,"process":"r1","object":"service/s","revision":5}
)";

std::string
SecondRouter(int aTime)
{
  return R"({"kind":"applied","at":)" + std::to_string(aTime) +
         R"(,"process":"r2","object":"service/s","revision":5}
)";
}

verdict
CheckAfter(const std::string& aLines)
{
  return CheckDocumentsInForce(MadeHistory(kAccepted + aLines), check_options{});
}

constexpr const char* kLater = R"({"kind":"fault","at":9000,"detail":"note"}
)";

} // namespace

// clang-format off
TEST_GROUP(documents_in_force){};
// clang-format on

TEST(documents_in_force, DocumentAppliedByAllInTimeHolds)
{
  const verdict found = CheckAfter(kFirstRouter + SecondRouter(3100) + kLater);
  CHECK_EQUAL(2, found.checked);
  CHECK(found.violations.empty());
}

TEST(documents_in_force, LateOrMissingRouterIsFound)
{
  CHECK_EQUAL(1, CheckAfter(kFirstRouter + SecondRouter(3101)).violations.size());
  CHECK_EQUAL(1, CheckAfter(kFirstRouter + kLater).violations.size());
}

TEST(documents_in_force, DocumentAtTheEndOfTheHistoryIsNotJudged)
{
  const verdict found = CheckAfter(kFirstRouter);
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(documents_in_force, LaterDocumentStandsForAnEarlierOne)
{
  const verdict found =
    CheckAfter(kFirstRouter +
               R"({"kind":"accepted","at":300,"object":"service/s","revision":6,"detail":"{}"}
{"kind":"applied","at":400,"process":"r1","object":"service/s","revision":6}
{"kind":"applied","at":400,"process":"r2","object":"service/s","revision":6}
)" + kLater);
  CHECK(found.violations.empty());
}

TEST(documents_in_force, StoreThatIsDownExcusesOnlyWithoutAPeerThatHasTheDocument)
{
  const std::string down = R"({"kind":"fault","at":110,"detail":"begin store_down"}
)";
  const std::string cutOff =
    R"({"kind":"fault","at":110,"instance":"r2","detail":"begin partition"}
)";
  CHECK(CheckAfter(down + kLater).violations.empty());
  CHECK_EQUAL(1, CheckAfter(down + kFirstRouter + kLater).violations.size());
  CHECK(CheckAfter(down + cutOff + kFirstRouter + kLater).violations.empty());
}

TEST(documents_in_force, PartitionAloneExcusesNothing)
{
  const verdict found = CheckAfter(
    R"({"kind":"fault","at":110,"instance":"r2","detail":"begin partition"}
)" + kFirstRouter +
    kLater);
  CHECK_EQUAL(1, found.violations.size());
}

TEST(documents_in_force, PausedTimeDoesNotCountButTheTimeAfterDoes)
{
  const std::string pause = R"({"kind":"fault","at":110,"instance":"r2","detail":"begin pause"}
{"kind":"fault","at":5110,"instance":"r2","detail":"end pause"}
)";
  CHECK(CheckAfter(kFirstRouter + pause + SecondRouter(8000) + kLater).violations.empty());
  CHECK_EQUAL(1, CheckAfter(kFirstRouter + pause + SecondRouter(8200)).violations.size());
}

TEST(documents_in_force, OlderVersionAfterANewerOneIsFound)
{
  const std::string older =
    R"({"kind":"accepted","at":50,"object":"service/s","revision":4,"detail":"{}"}
{"kind":"applied","at":900,"process":"r1","object":"service/s","revision":4}
)";
  const std::string killed = R"({"kind":"fault","at":800,"instance":"r1","detail":"begin kill"}
)";
  const std::string both = kFirstRouter + SecondRouter(200);
  CHECK_EQUAL(1, CheckAfter(both + older).violations.size());
  CHECK(CheckAfter(both + killed + older).violations.empty());
}

TEST(documents_in_force, VersionThatWasNeverAcceptedIsFound)
{
  const verdict found =
    CheckAfter(kFirstRouter + SecondRouter(200) +
               R"({"kind":"applied","at":300,"process":"r1","object":"service/s","revision":7})");
  CHECK_EQUAL(1, found.violations.size());
}
