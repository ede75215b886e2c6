#include "gateway/demandmeter.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(demand_meter)
{
  routes::engine_profile engine;
  demand_meter meter;

  void setup() override
  {
    engine.models = { { { "quad" }, 4, 1, 0.5, 16_s, 1_s }, { { "pair" }, 2, 1, 0.5, 12_s, 1_s } };
    engine.promptTokensPerSecond = 45900;
    engine.stepMs = 8;
  }

  void RecordCalls(const char* aModel, int aCount, time_point aNow)
  {
    for (int i = 0; i < aCount; ++i) {
      meter.RecordCall(engine, { aModel }, 1000, 100, aNow);
    }
  }
};
// clang-format on

TEST(demand_meter, NoDemandIsReportedBelowTheMinimumNumberOfCalls)
{
  RecordCalls("pair", 5, { 1000 });
  CHECK(meter.DemandByModel({ 1000 }).empty());
}

TEST(demand_meter, DemandScalesWithTheGroupSizeOfTheModel)
{
  RecordCalls("pair", 50, { 1000 });
  RecordCalls("quad", 50, { 1000 });
  const auto demand = meter.DemandByModel({ 1000 });
  DOUBLES_EQUAL(2 * demand.at({ "pair" }), demand.at({ "quad" }), 0.001);
}

TEST(demand_meter, OldWorkDecays)
{
  RecordCalls("pair", 50, { 1000 });
  RecordCalls("quad", 50, { 61000 });
  const auto demand = meter.DemandByModel({ 61000 });
  CHECK(demand.at({ "quad" }) > 100 * demand.at({ "pair" }));
}

TEST(demand_meter, CallsForAnUnknownModelAreIgnored)
{
  RecordCalls("other", 100, { 1000 });
  CHECK(meter.DemandByModel({ 1000 }).empty());
}
