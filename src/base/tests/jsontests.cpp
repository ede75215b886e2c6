#include "base/json.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

// clang-format off
TEST_GROUP(json)
{
  json_problem problem;
};
// clang-format on

TEST(json, RejectsNumberOutsideTheRangeOfDouble)
{
  CHECK_FALSE(ParseJson(R"({"a":1e400})", problem).has_value());
  STRCMP_EQUAL("$", problem.path.c_str());
}

TEST(json, RejectsDeepNesting)
{
  constexpr std::size_t kDepth = 1000000;
  CHECK_FALSE(ParseJson(std::string(kDepth, '['), problem).has_value());
  CHECK_FALSE(ParseJson(std::string(kDepth, '[') + std::string(kDepth, ']'), problem).has_value());
  STRCMP_CONTAINS("at most 100 levels", problem.Text().c_str());
}

TEST(json, BracketsInStringsAreNotCountedAsNesting)
{
  const std::string text = "{\"a\":\"\\\"" + std::string(1000, '[') + "\"}";
  CHECK(ParseJson(text, problem).has_value());
}

TEST(json, ElementsOfALongArrayAreNotCountedAsNesting)
{
  std::string text = "[[]";
  for (int count = 0; count < 1000; ++count) {
    text += ",[]";
  }
  CHECK(ParseJson(text + "]", problem).has_value());
}
