#include "gateway/unknownheaderlog.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

TEST_GROUP(unknown_header_log){};

// Guards against a statement of an upstream that is dropped without a trace.
TEST(unknown_header_log, EachUnknownHeaderIsCounted)
{
  metrics_registry metrics;
  unknown_header_log log(metrics);
  log.Record({ "New-Header", "Other-Header" }, { "i-1" });
  log.Record({ "new-header" }, { "i-2" });
  log.Record({}, { "i-2" });
  CHECK(metrics.Render().find("persimmon_gateway_unknown_headers_total 3") != std::string::npos);
}
