#include "app/router/routerevents.h"
#include "app/router/routermetrics.h"
#include "routing/refusalreason.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace persimmon;

namespace {

std::string
ReadPage(const std::string& aName)
{
  const std::ifstream file(std::string(PERSIMMON_SOURCE_DIR) + "/docs/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::size_t
CountRows(const std::string& aPage)
{
  std::istringstream lines(aPage);
  std::string line;
  std::size_t rows = 0;
  while (std::getline(lines, line)) {
    rows += line.starts_with("| ") && !line.starts_with("| reason") && !line.starts_with("| ---");
  }
  return rows;
}

} // namespace

// clang-format off
TEST_GROUP(router_catalogue){};
// clang-format on

TEST(router_catalogue, EveryRefusalIsDescribedWithItsStatus)
{
  const std::string page = ReadPage("REFUSALS.md");
  for (const routing::refusal_entry& entry : routing::kRefusals) {
    const std::string row = fmt::format("\n| {} | {} |", entry.code, entry.status);
    STRCMP_CONTAINS(row.c_str(), page.c_str());
  }
  CHECK_EQUAL(routing::kRefusals.size(), CountRows(page));
}

TEST(router_catalogue, EveryEventAndMetricIsDescribed)
{
  const std::string events = ReadPage("EVENTS.md");
  for (const log_event& event : router::kRouterEvents) {
    STRCMP_CONTAINS(fmt::format("| {} | {} |", event.number, event.name).c_str(), events.c_str());
  }
  const std::string metrics = ReadPage("METRICS.md");
  for (const metric_spec& metric : router::kRouterMetrics) {
    STRCMP_CONTAINS(fmt::format("| {} |", metric.name).c_str(), metrics.c_str());
  }
}
