#include "base/tests/mutatedtext.h"
#include "placement/domaintable.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

constexpr int kMutations = 20000;
constexpr std::uint64_t kSeed = 20261204;

domain_table
Table()
{
  domain_table table;
  table.domain.value = "fabric-a";
  table.owner.value = "placer-1";
  table.token.value = 4;
  table.lastWrite.value = "w1";
  group entry;
  entry.id.value = "g1";
  entry.service.value = "verifier-llm";
  entry.model = { "verifier", "", "v3" };
  entry.state = group_state::serving;
  entry.version.value = 7;
  entry.members = { { { "i1" }, { "127.0.0.1:1" }, { 1 } },
                    { { "i2" }, { "127.0.0.1:2" }, { 2 } } };
  table.groups = { entry };
  return table;
}

} // namespace

// clang-format off
TEST_GROUP(damaged_table){};
// clang-format on

TEST(damaged_table, AMutatedTableIsRefusedWithAReasonOrHasNoSharedInstance)
{
  const std::string good = RenderDomainTable(Table());
  random_source random(kSeed);
  for (int count = 0; count < kMutations; ++count) {
    const std::string text = MutatedText(good, random);
    table_reason why;
    const auto table = ParseDomainTable(text, why);
    if (!table) {
      CHECK_TEXT(why.code != table_error::none && !why.detail.empty(), text.c_str());
      continue;
    }
    CHECK_TEXT(!FindSharedInstance(*table).has_value(), text.c_str());
    CHECK_TEXT(ParseDomainTable(RenderDomainTable(*table), why) == table, text.c_str());
  }
}
