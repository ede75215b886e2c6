#include "history/event.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::history;

// clang-format off
TEST_GROUP(history_event){};
// clang-format on

TEST(history_event, RenderedEventParsesToTheSame)
{
  event original;
  original.kind = event_kind::completed;
  original.at = { 1234 };
  original.process = "engine";
  original.call = "c1";
  original.attempt = "a1";
  original.ran = "unknown";
  original.attemptRan = "no";
  original.members = { "i1", "i2" };
  original.once = true;
  std::string problem;
  const auto parsed = ParseEvent(RenderEvent(original), problem);
  CHECK(parsed.has_value());
  CHECK(*parsed == original);
}

TEST(history_event, UnknownKindIsAProblem)
{
  std::string problem;
  CHECK_FALSE(ParseEvent(R"({"kind":"dreamt","at":1})", problem).has_value());
  STRCMP_EQUAL("$.kind: found \"dreamt\", expected a kind of event", problem.c_str());
}
