#include "load/streamtext.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::load;

namespace {

constexpr std::string_view kStream =
  "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n"
  "data: {\"choices\":[{\"index\":0,\"text\":\"two\"}]}\r\n\r\n"
  "data: [DONE]\n\n";

} // namespace

// clang-format off
TEST_GROUP(stream_text){};
// clang-format on

TEST(stream_text, TextDoesNotDependOnWhereThePiecesAreCut)
{
  for (std::size_t cut = 0; cut <= kStream.size(); ++cut) {
    stream_text stream;
    const std::size_t tokens =
      stream.Feed(kStream.substr(0, cut)) + stream.Feed(kStream.substr(cut));
    CHECK_EQUAL(2, tokens);
    STRCMP_EQUAL("one two", stream.Text().c_str());
    CHECK(stream.IsWhole());
  }
}

TEST(stream_text, StreamWithoutItsEndIsNotWhole)
{
  stream_text stream;
  stream.Feed(kStream.substr(0, kStream.size() - 3));
  CHECK_FALSE(stream.IsWhole());
}

TEST(stream_text, ErrorEventOrTextAfterTheEndIsNotWhole)
{
  stream_text failed;
  failed.Feed("event: error\ndata: {\"reason\":\"upstream_lost\"}\n\n");
  STRCMP_EQUAL("{\"reason\":\"upstream_lost\"}", failed.ErrorData().c_str());
  failed.Feed(kStream);
  CHECK_FALSE(failed.IsWhole());
  stream_text longer;
  longer.Feed(kStream);
  longer.Feed(kStream);
  CHECK_FALSE(longer.IsWhole());
}

TEST(stream_text, WholeAnswerHasItsMessageOrText)
{
  STRCMP_EQUAL(
    "yes",
    ModelAnswerText(R"({"choices":[{"message":{"role":"assistant","content":"yes"}}]})")->c_str());
  STRCMP_EQUAL("no", ModelAnswerText(R"({"choices":[{"text":"no"}]})")->c_str());
  CHECK_FALSE(ModelAnswerText(R"({"choices":[)").has_value());
  CHECK_FALSE(ModelAnswerText(R"({"choices":[]})").has_value());
}
