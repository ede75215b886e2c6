#include "placement/domaintable.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

domain_table
SampleTable()
{
  group entry;
  entry.id = { "g1" };
  entry.service = { "verifier-llm" };
  entry.model = { "verifier", "", "v3" };
  entry.state = group_state::serving;
  entry.version = { 7 };
  entry.zone = { "gasabo" };
  entry.members = { { { "i1" }, { "127.0.0.1:9001" }, { 3 } },
                    { { "i2" }, { "127.0.0.1:9002" }, { 1 } } };
  entry.loads = 1;
  return { { "fabric-1" }, { "p1" }, { 4 }, { "w9" }, { entry }, { { "i3" } } };
}

} // namespace

// clang-format off
TEST_GROUP(domain_table){};
// clang-format on

TEST(domain_table, ARenderedTableParsesToAnEqualTable)
{
  table_reason why;
  const auto parsed = ParseDomainTable(RenderDomainTable(SampleTable()), why);
  CHECK(parsed.has_value());
  CHECK(*parsed == SampleTable());
}

TEST(domain_table, ATableWithAnInstanceInTwoGroupsIsRefused)
{
  domain_table table = SampleTable();
  table.groups.push_back(table.groups[0]);
  table.groups[1].id = { "g2" };
  table_reason why;
  CHECK_FALSE(ParseDomainTable(RenderDomainTable(table), why).has_value());
  CHECK(why.code == table_error::instance_in_two_groups);
}
