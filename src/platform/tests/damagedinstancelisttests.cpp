#include "base/tests/mutatedtext.h"
#include "platform/instancelist.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

constexpr int kTries = 20000;
constexpr std::uint64_t kSeed = 20261206;

constexpr std::string_view kList =
  R"({"instances":[{"id":"i1","address":"127.0.0.1:1","zone":"z","domain":"d","incarnation":2,)"
  R"("leaving":false,"fencing":true},{"id":"s1","address":"127.0.0.1:2","incarnation":1,)"
  R"("service":"tjald-ledger"}]})";

} // namespace

// clang-format off
TEST_GROUP(damaged_instance_list){};
// clang-format on

TEST(damaged_instance_list, DamageEitherParsesToWhatRendersTheSameOrIsExplained)
{
  random_source random(kSeed);
  for (int count = 0; count < kTries; ++count) {
    const std::string text = MutatedText(kList, random);
    json_problem problem;
    const auto list = ParseInstanceList(text, problem);
    if (!list) {
      CHECK_TEXT(!problem.expected.empty(), text.c_str());
      continue;
    }
    const auto again = ParseInstanceList(RenderInstanceList(*list), problem);
    CHECK_TEXT(again.has_value(), text.c_str());
    CHECK_EQUAL(list->size(), again->size());
  }
}
