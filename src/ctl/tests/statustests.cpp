#include "ctl/statusreport.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::ctl;

namespace {

asked_router
Router(const char* aAddress, std::uint64_t aRevision)
{
  router_status status;
  status.documents[{ "verifier-llm" }] = { aRevision };
  return { aAddress, status };
}

} // namespace

// clang-format off
TEST_GROUP(status){};
// clang-format on

TEST(status, ListsRoutersThatLagOrDoNotAnswer)
{
  const auto count = CountInForce(
    { Router("r1", 7), Router("r2", 6), { "r3", std::nullopt } }, { "verifier-llm" }, { 7 });
  STRCMP_EQUAL("in force on 1 of 3; lagging: r2, r3 (no answer)", RenderInForce(count).c_str());
}

TEST(status, ParsesRouterStatusWithUnknownMembers)
{
  json_problem problem;
  const auto status = ParseRouterStatus(
    R"({"router":"r1","ready":true,"documents":[{"service":"a","revision":4,"source":"watch"}],"more":1})",
    problem);
  CHECK(status.has_value());
  CHECK(status->documents.at({ "a" }) == revision{ 4 });
}

TEST(status, ShowsReasonOfUnplacedGroups)
{
  json_problem problem;
  status_input input;
  input.notes.push_back(*ParsePlacementNote(
    R"({"service":"a","wanted":3,"placed":1,"why":"fabric-1 lacks 2 instances"})", problem));
  input.notes.push_back(
    *ParsePlacementNote(R"({"service":"b","wanted":0,"placed":0,"why":""})", problem));
  const std::string report = RenderStatus(input);
  STRCMP_CONTAINS("Not met: a has 1 of 3 groups placed: fabric-1 lacks 2 instances",
                  report.c_str());
  CHECK(report.find("Not met: b") == std::string::npos);
}
