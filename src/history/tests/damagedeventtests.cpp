#include "base/tests/mutatedtext.h"
#include "history/event.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::history;

namespace {

constexpr int kTries = 20000;
constexpr std::uint64_t kSeed = 20261205;

constexpr std::string_view kLine =
  R"({"kind":"attempted","at":1234,"process":"r1","request":"r","attempt":"a","key":"k",)"
  R"("service":"s","instance":"i","incarnation":3,"group":"g","generation":2,"once":true,)"
  R"("members":["i","j"],"status":200,"detail":"text"})";

} // namespace

// clang-format off
TEST_GROUP(damaged_event){};
// clang-format on

TEST(damaged_event, DamageEitherParsesToWhatRendersTheSameOrIsExplained)
{
  random_source random(kSeed);
  for (int count = 0; count < kTries; ++count) {
    const std::string text = MutatedText(kLine, random);
    std::string problem;
    const auto parsed = ParseEvent(text, problem);
    if (!parsed) {
      CHECK_TEXT(!problem.empty(), text.c_str());
      continue;
    }
    CHECK_TEXT(ParseEvent(RenderEvent(*parsed), problem) == parsed, text.c_str());
  }
}
