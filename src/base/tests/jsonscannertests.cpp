#include "base/jsonscanner.h"

#include "base/jsonlimits.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace persimmon;

namespace {

/// Returns the value at the start of a text; empty when its end is not found.
std::string
ValueAtStart(const std::string& aText)
{
  const std::size_t end = json_scanner(aText).EndOfValue(0);
  return end == json_scanner::kNotFound ? std::string() : aText.substr(0, end);
}

} // namespace

// clang-format off
TEST_GROUP(json_scanner)
{
};
// clang-format on

TEST(json_scanner, EndOfEachKindOfValueIsFound)
{
  for (const std::string& value : { std::string("1"),
                                    std::string("-2.5e3"),
                                    std::string("true"),
                                    std::string("\"a\\\"}\""),
                                    std::string("[]"),
                                    std::string("{ }"),
                                    std::string("[1, [2], {\"a\" : [ ]}]"),
                                    std::string(R"({"a":1,"b":{"c":[{}]},"d":"]"})") }) {
    STRCMP_EQUAL(value.c_str(), ValueAtStart(value).c_str());
    STRCMP_EQUAL(value.c_str(), ValueAtStart(value + " ,2").c_str());
    STRCMP_EQUAL(value.c_str(), ValueAtStart(value + "}").c_str());
  }
}

TEST(json_scanner, WhatStandsInAStringOrANumberIsNotLookedAt)
{
  for (const std::string& odd : { std::string("\"\xff\xfe\""),
                                  std::string("\"\xed\xa0\x80\""),
                                  std::string("\"\x01\n\""),
                                  std::string("\"\\q\\ud800\""),
                                  std::string("1e400"),
                                  std::string("tru"),
                                  std::string("+1") }) {
    const std::string value = "{\"a\":" + odd + ",\"b\":1}";
    STRCMP_EQUAL(value.c_str(), ValueAtStart(value).c_str());
  }
}

TEST(json_scanner, BrokenStructureHasNoEnd)
{
  for (const char* text : { "",
                            " ",
                            "{",
                            "[1",
                            "\"a",
                            "\"a\\\"",
                            "{\"a\"}",
                            "{\"a\":}",
                            "{\"a\":1,}",
                            "{,\"a\":1}",
                            "{\"a\":1 \"b\":2}",
                            "{\"a\":\"b\"c\"}",
                            "[1}",
                            "[1,]",
                            "{a:1}",
                            "," }) {
    CHECK_TEXT(ValueAtStart(text).empty(), text);
  }
}

TEST(json_scanner, DeepNestingHasNoEnd)
{
  const auto nested = [](std::size_t aLevels) {
    return std::string(aLevels, '[') + std::string(aLevels, ']');
  };
  CHECK(!ValueAtStart(nested(kMaxJsonLevels)).empty());
  CHECK(ValueAtStart(nested(kMaxJsonLevels + 2)).empty());
  CHECK(ValueAtStart(nested(300000)).empty());
}

TEST(json_scanner, MembersOfAnObjectAreFound)
{
  const json_members found = SplitJsonObject(R"( {"a" : 1 , "b":{"a":2},"c":"\ud800"} )");
  CHECK(found.isWhole);
  LONGS_EQUAL(3, found.members.size());
  CHECK(found.Find("a") == "1");
  CHECK(found.Find("b") == R"({"a":2})");
  CHECK(found.Find("c") == R"("\ud800")");
  CHECK(found.Find("d").empty());
  CHECK(SplitJsonObject("{}").isWhole);
}

TEST(json_scanner, MembersBeforeABrokenOneAreFound)
{
  const json_members found = SplitJsonObject(R"({"a":1,"b":"x"y","c":2})");
  CHECK(!found.isWhole);
  CHECK(found.Find("a") == "1");
  CHECK(found.Find("b") == R"("x"y","c":2})");
  CHECK(found.Find("c").empty());
  for (const char* text : { "", "[]", "1", "{\"a\":1", "{\"a\":1}x", "{} {}" }) {
    CHECK_TEXT(!SplitJsonObject(text).isWhole, text);
  }
}

TEST(json_scanner, ItemsOfAnArrayAreFound)
{
  const auto found = SplitJsonArray(R"( [1 , "\ud800",{"a":[2]}, [ ] ] )");
  CHECK(found.has_value());
  LONGS_EQUAL(4, found->size());
  CHECK((*found)[0] == "1");
  CHECK((*found)[1] == R"("\ud800")");
  CHECK((*found)[2] == R"({"a":[2]})");
  CHECK((*found)[3] == "[ ]");
  CHECK(SplitJsonArray("[]")->empty());
  for (const char* text : { "", "{}", "[1", "[1,]", "[1] 2", "[1 2]", "1" }) {
    CHECK_TEXT(!SplitJsonArray(text).has_value(), text);
  }
}
