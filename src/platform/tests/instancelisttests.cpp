#include "platform/instancelist.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

// clang-format off
TEST_GROUP(instance_list){};
// clang-format on

TEST(instance_list, RenderedListParsesToAnEqualList)
{
  listed_instance instance;
  instance.id = { "i1" };
  instance.address = { "127.0.0.1:9001" };
  instance.incarnation = { 3 };
  instance.leaving = true;
  json_problem problem;
  const auto parsed = ParseInstanceList(RenderInstanceList({ instance }), problem);
  CHECK(parsed.has_value());
  CHECK(parsed->at(0) == instance);
}

TEST(instance_list, ProblemContainsThePathOfTheInvalidMember)
{
  json_problem problem;
  CHECK_FALSE(
    ParseInstanceList(R"({"instances":[{"id":"i1","incarnation":1}]})", problem).has_value());
  STRCMP_EQUAL("$.instances[0].address", problem.path.c_str());
}
