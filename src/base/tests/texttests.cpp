#include "base/text.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

// clang-format off
TEST_GROUP(text)
{
};
// clang-format on

TEST(text, TrimmedRemovesLeadingAndTrailingWhitespace)
{
  CHECK(Trimmed("  a b\t\r\n") == "a b");
  CHECK(Trimmed("a") == "a");
  CHECK(Trimmed(" \r\n").empty());
  CHECK(Trimmed("").empty());
}

TEST(text, LowerCaseConvertsUpperCaseLetters)
{
  STRCMP_EQUAL("retry-after 2", LowerCase("Retry-AFTER 2").c_str());
}

TEST(text, PrintableExcerptHoldsPrintableBytesOnly)
{
  STRCMP_EQUAL("a b~??", PrintableExcerpt("a b~\x7F\xC3\n", 6).c_str());
  STRCMP_EQUAL("???", PrintableExcerpt(std::string_view("\0\r\x1B", 3), 9).c_str());
}
