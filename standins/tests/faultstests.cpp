#include "base/random.h"
#include "standins/engine/prefixcache.h"
#include "standins/platform/platformfaults.h"
#include "standins/service/serviceinstance.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::standins;

// clang-format off
TEST_GROUP(faults) {};
TEST_GROUP(service_instance)
{
  service_instance service{ service_options{}, { "s-0" }, 1 };
  service_faults plan;

  static service_call Call(const char* aBody)
  {
    service_call call;
    call.body = aBody;
    return call;
  }
};
TEST_GROUP(prefix_cache) {};
// clang-format on

TEST(faults, UnknownMembersAreRefusedByName)
{
  json_problem problem;
  CHECK_FALSE(service_faults::Parse({ { "crash", "x" } }, problem).has_value());
  STRCMP_EQUAL("$.crash", problem.path.c_str());
}

TEST(faults, RenderedPlansAreReadBackTheSame)
{
  json_problem problem;
  const nlohmann::json platform = { { "down", true },
                                    { "slow_ms", 20 },
                                    { "lose_reply_percent", 30 },
                                    { "calls_per_second", 40 },
                                    { "stall_watch", true } };
  CHECK(platform_faults::Parse(platform, problem)->Render() == platform);
  const nlohmann::json service = { { "die", { "s-1" } },
                                   { "pause", { "s-2" } },
                                   { "leave", { "s-3" } },
                                   { "straggle", { { "s-4", 5 } } },
                                   { "dark", true },
                                   { "crash_marker", "x" },
                                   { "crash_return_ms", 6 },
                                   { "slow_ms", 7 },
                                   { "drop_before_percent", 8 },
                                   { "drop_after_percent", 9 } };
  CHECK(service_faults::Parse(service, problem)->Render() == service);
}

TEST(service_instance, DroppedBeforeMeansThatItDidNotRun)
{
  plan.dropBeforePercent = 100;
  service.Apply(plan);
  CHECK(service.Submit(Call(""), {}) == call_verdict::dropped);
  CHECK(service.Tick({ 1000 }).empty());
}

TEST(service_instance, DroppedAfterMeansThatItRan)
{
  plan.dropAfterPercent = 100;
  service.Apply(plan);
  CHECK(service.Submit(Call(""), {}) == call_verdict::runs);
  CHECK(service.Tick({ 1000 }).front().dropped);
}

TEST(service_instance, MarkedCallCrashesAndIsCutOff)
{
  plan.crashMarker = "bad";
  service.Apply(plan);
  CHECK(service.Submit(Call("good"), {}) == call_verdict::runs);
  CHECK(service.Submit(Call("so bad"), {}) == call_verdict::crashes);
  CHECK_EQUAL(2, service.Die().size());
}

TEST(prefix_cache, ComputesOnlyWhatNoEarlierPromptBeganWith)
{
  prefix_cache cache(4);
  const std::string first(prefix_cache::kBlockBytes, 'a');
  const std::string second(prefix_cache::kBlockBytes, 'b');
  CHECK_EQUAL(2, cache.Use(first + second));
  CHECK_EQUAL(0, cache.Use(first + second));
  CHECK_EQUAL(1, cache.Use(first + first));
  CHECK_EQUAL(2, cache.Use(second + first));
  // The four blocks in use since have pushed out the oldest of the five.
  CHECK_EQUAL(1, cache.Use(first + second));
}
