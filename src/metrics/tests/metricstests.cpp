#include "metrics/metrics.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

// clang-format off
TEST_GROUP(metrics){};
// clang-format on

TEST(metrics, RenderContainsTheSumOfAllIncrements)
{
  metrics_registry registry;
  const metric_spec spec{ "persimmon_test_total", "Things." };
  registry.Count(spec, { { "kind", "a" } });
  registry.Count(spec, { { "kind", "a" } }, 2);
  STRCMP_CONTAINS("persimmon_test_total{kind=\"a\"} 3", registry.Render().c_str());
}
