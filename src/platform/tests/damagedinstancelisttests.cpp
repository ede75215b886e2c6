#include "base/tests/mutatedtext.h"
#include "platform/instancelist.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

constexpr int kMutations = 20000;
constexpr std::uint64_t kSeed = 20261206;

constexpr std::string_view kValidList =
  R"({"instances":[{"id":"i1","address":"127.0.0.1:1","zone":"z","domain":"d","incarnation":2,)"
  R"("leaving":false,"fencing":true},{"id":"s1","address":"127.0.0.1:2","incarnation":1,)"
  R"("service":"tjald-ledger"}]})";

} // namespace

// clang-format off
TEST_GROUP(damaged_instance_list){};
// clang-format on

TEST(damaged_instance_list, MutatedListIsReparsedAfterRenderingOrRejectedWithAProblem)
{
  random_source random(kSeed);
  for (int i = 0; i < kMutations; ++i) {
    const std::string text = MutatedText(kValidList, random);
    json_problem problem;
    const auto list = ParseInstanceList(text, problem);
    if (!list) {
      CHECK_TEXT(!problem.expected.empty(), text.c_str());
      continue;
    }
    const auto reparsed = ParseInstanceList(RenderInstanceList(*list), problem);
    CHECK_TEXT(reparsed.has_value(), text.c_str());
    CHECK_EQUAL(list->size(), reparsed->size());
  }
}
