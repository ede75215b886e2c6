#include "ledger/ledgertable.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::ledger;

// clang-format off
TEST_GROUP(ledger_table)
{
  ledger_table table;
  table_reason parseError;
  void setup() override
  {
    table.records[{ "a" }] = { { { { "r1" }, 7 }, 1 }, "d1", record_state::intent, {} };
    table.records[{ "b" }] = { { { { "r2" }, 8 }, 2 }, "d2", record_state::not_run, {} };
  }
};
// clang-format on

TEST(ledger_table, RenderedTableParsesToAnEqualTable)
{
  table.Close(
    { "a" }, record_state::done, stored_response{ 201, "application/json", "{\"ok\":true}" });
  const auto parsed = ParseLedgerTable(RenderLedgerTable(table), parseError);
  CHECK(parsed.has_value());
  CHECK(*parsed == table);
}

TEST(ledger_table, LargeOrBinaryResponsesAreNotStored)
{
  table.Close({ "a" },
              record_state::done,
              stored_response{ 200, "", std::string(kMaxStoredBodyBytes + 1, 'x') });
  table.Close({ "b" }, record_state::done, stored_response{ 200, "", "\xff\xfe" });
  CHECK_FALSE(table.Find({ "a" })->response.has_value());
  CHECK_FALSE(table.Find({ "b" })->response.has_value());
  CHECK(table.Find({ "a" })->state == record_state::done);
}

TEST(ledger_table, FullTableFitsIntoTheMaximumObjectSize)
{
  constexpr std::size_t kMaxObjectBytes = 512UL * 1024;
  const stored_response worst{ 200, "text/plain", std::string(kMaxStoredBodyBytes, '\x01') };
  for (std::size_t i = 0; table.records.size() < kMaxRecordsPerShard; ++i) {
    const std::string id = std::to_string(i) + std::string(32, 'x');
    const writer_identity writer{ { std::string(kMaxRouterIdBytes, 'r') }, UINT64_MAX - i % 200 };
    table.records[{ id.substr(0, 32) }] = {
      { writer, UINT64_MAX }, std::string(32, 'd'), record_state::intent, {}
    };
    table.Close({ id.substr(0, 32) }, record_state::done, worst);
  }
  CHECK(RenderLedgerTable(table).size() < kMaxObjectBytes);
}

TEST(ledger_table, OtherFormatsAndInvalidValuesAreTypedErrors)
{
  CHECK_FALSE(ParseLedgerTable("no", parseError).has_value());
  CHECK(parseError.code == table_error::not_json);
  CHECK_FALSE(ParseLedgerTable(R"({"format":2})", parseError).has_value());
  CHECK(parseError.code == table_error::unknown_format);
  CHECK_FALSE(
    ParseLedgerTable(R"({"format":1,"writers":[],"records":[["a","d",0,1,0]]})", parseError)
      .has_value());
  CHECK(parseError.code == table_error::bad_member);
}
