#include "load/loadreport.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace persimmon;
using namespace persimmon::load;

// clang-format off
TEST_GROUP(load_statistics){};
// clang-format on

TEST(load_statistics, QuantilesAreExactAndSurviveMerging)
{
  span_counts even;
  span_counts odd;
  for (int ms = 1; ms <= 100; ++ms) {
    (ms % 2 == 0 ? even : odd).Add({ ms });
  }
  even.Merge(odd);
  CHECK_EQUAL(50, even.Quantile(0.5).ms);
  CHECK_EQUAL(99, even.Quantile(0.99).ms);
  CHECK_EQUAL(100, even.Quantile(1).ms);
  CHECK_EQUAL(0, span_counts().Quantile(0.5).ms);
}

TEST(load_statistics, ReportCountsRefusalsByReason)
{
  load_statistics statistics;
  statistics.sent = 3;
  call_result result;
  result.answered = true;
  result.whole = 20_ms;
  statistics.Add(result);
  result.answered = false;
  result.refusal = "queue_full";
  statistics.Add(result);
  statistics.Add(result);
  const auto report = nlohmann::json::parse(RenderJsonReport(statistics, 2_s));
  CHECK_EQUAL(1, report["answered"].get<int>());
  CHECK_EQUAL(2, report["refusals"]["queue_full"].get<int>());
  CHECK_EQUAL(20, report["whole_answer_ms"]["p99"].get<int>());
  STRCMP_CONTAINS("queue_full: 2", RenderTextReport(statistics, 2_s).c_str());
  STRCMP_CONTAINS("</svg>", RenderLatencyPlot(statistics, 2_s).c_str());
}
