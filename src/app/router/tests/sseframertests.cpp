#include "app/router/sseframer.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::router;

// clang-format off
TEST_GROUP(sse_framer)
{
  sse_framer framer;
};
// clang-format on

TEST(sse_framer, HoldsBackAnEventThatIsNotWhole)
{
  CHECK(framer.Accept("data: a\n\ndata: b") == "data: a\n\n");
  CHECK(framer.Accept("c\n") == "");
  CHECK(framer.Accept("\n") == "data: bc\n\n");
  CHECK_EQUAL(2, static_cast<int>(framer.Events()));
}

TEST(sse_framer, DroppedPartIsNotCountedAndNotPassedOn)
{
  framer.Accept("data: a\n\ndata: half");
  framer.DropPartial();
  CHECK(framer.Accept("data: b\n\n") == "data: b\n\n");
  CHECK_EQUAL(2, static_cast<int>(framer.Events()));
}

TEST(sse_framer, KeepsTheEndMarkToItself)
{
  CHECK(framer.Accept("data: a\n\ndata: [DONE]\n\ndata: late\n\n") == "data: a\n\n");
  CHECK(framer.SawEnd());
  CHECK(framer.Accept("data: later\n\n") == "");
  CHECK_EQUAL(1, static_cast<int>(framer.Events()));
}

TEST(sse_framer, CommentsAreNoTokens)
{
  CHECK(framer.Accept(": alive\n\ndata: a\n\n") == ": alive\n\ndata: a\n\n");
  CHECK_EQUAL(1, static_cast<int>(framer.Events()));
}

TEST(sse_framer, AnyCutGivesTheSameEvents)
{
  const std::string stream =
    "data: one\n\n: c\n\ndata: two\n\ndata: x\ndata: y\n\ndata: [DONE]\n\n";
  const std::string expected = "data: one\n\n: c\n\ndata: two\n\ndata: x\ndata: y\n\n";
  random_source random(7);
  constexpr int kRuns = 2000;
  constexpr std::uint64_t kLongestPiece = 12;
  for (int run = 0; run < kRuns; ++run) {
    sse_framer cut;
    std::string seen;
    std::size_t at = 0;
    while (at < stream.size()) {
      const std::size_t length = 1 + random.Below(kLongestPiece);
      seen += cut.Accept(std::string_view(stream).substr(at, length));
      at += length;
    }
    CHECK(seen == expected);
    CHECK(cut.SawEnd());
    CHECK_EQUAL(3, static_cast<int>(cut.Events()));
  }
}
