#include "load/callplanner.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::load;

// clang-format off
TEST_GROUP(call_planner)
{
  load_mix mix;

  void setup() override
  {
    mix.models = { { "verifier-llm" } };
    mix.services = { { "tjald-ledger" } };
    mix.customers = { { { "large" }, "k1" }, { { "small" }, "k2" } };
    mix.rate = 500;
    mix.length = 4_s;
  }
};
// clang-format on

TEST(call_planner, SameSeedPlansTheSameCalls)
{
  call_planner first(mix, 7, { 1000 }, 0, 1);
  call_planner second(mix, 7, { 1000 }, 0, 1);
  for (int count = 0; count < 200; ++count) {
    const auto left = first.Next();
    const auto right = second.Next();
    CHECK(left->after == right->after);
    CHECK(left->body == right->body);
    CHECK(left->key == right->key);
  }
}

TEST(call_planner, ArrivalsKeepTheRateAndEndWithTheRun)
{
  call_planner planner(mix, 3, { 0 }, 0, 1);
  std::uint64_t count = 0;
  std::uint64_t keyed = 0;
  duration last;
  while (const auto call = planner.Next()) {
    CHECK(call->after >= last);
    last = call->after;
    ++count;
    keyed += call->key ? 1 : 0;
    CHECK_EQUAL(call->key.has_value(), call->plain && call->method == "POST");
  }
  CHECK(last < mix.length);
  CHECK(count > 1800 && count < 2200);
  CHECK(keyed > 100);
}

TEST(call_planner, PlannersOfOneRunNumberCallsApart)
{
  call_planner even(mix, 3, { 0 }, 0, 2);
  call_planner odd(mix, 3, { 0 }, 1, 2);
  CHECK_EQUAL(0, even.Next()->number);
  CHECK_EQUAL(1, odd.Next()->number);
  CHECK_EQUAL(2, even.Next()->number);
}

TEST(call_planner, KeyIsUuidOfVersionSevenWithItsTime)
{
  random_source random(1);
  const std::string key = MakeUuidV7({ 0x0123456789ab }, random).value;
  CHECK_EQUAL(36, key.size());
  STRCMP_EQUAL("01234567-89ab-7", key.substr(0, 15).c_str());
  CHECK(std::string("89ab").find(key[19]) != std::string::npos);
}
