#include "routing/admission.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

constexpr time_point kStart{ 100000 };

service_document
Document(std::int64_t aConcurrency, std::int64_t aQueue)
{
  service_document document;
  document.service.value = "vakt-model";
  document.limits.concurrencyPerUpstream = aConcurrency;
  document.limits.maxQueued = aQueue;
  document.customers = { { { "large" }, "", 1 }, { { "small" }, "", 1 }, { { "heavy" }, "", 3 } };
  return document;
}

} // namespace

// clang-format off
TEST_GROUP(admission)
{
  admission control{ { "r1" }, { "vakt-model" } };
  int requests = 0;

  void Configure(std::int64_t aConcurrency, std::int64_t aQueue)
  {
    control.SetDocument(Document(aConcurrency, aQueue));
    control.SetUpstreams(1, kStart);
  }
  std::vector<admission_action> Request(const char* aCustomer,
                                    time_point aNow,
                                    std::uint8_t aPriority = kDefaultPriority,
                                    time_point aDeadline = { INT64_MAX })
  {
    const request_id request{ fmt::format("{}-{}", aCustomer, requests++) };
    return control.Submit({ request, { aCustomer }, aPriority, aDeadline }, aNow);
  }
  static bool Started(const std::vector<admission_action>& aActions)
  {
    return aActions.size() == 1 && aActions[0].verdict == admission_verdict::start;
  }
  peers::customer_load_message Share(const char* aRouter,
                                     const char* aCustomer,
                                     std::uint32_t aRunning)
  {
    return { { aRouter }, { "vakt-model" }, { aCustomer }, aRunning, 0, {} };
  }
};
// clang-format on

TEST(admission, OneCustomerMayUseAllIdleCapacity)
{
  Configure(4, 8);
  for (int number = 0; number < 4; ++number) {
    CHECK(Started(Request("large", kStart)));
  }
  CHECK(Request("large", kStart).empty());
  CHECK_EQUAL(1, control.Waiting());
}

TEST(admission, CustomerWithLessUseStartsBeforeTheBacklogOfAnother)
{
  Configure(2, 50);
  for (int number = 0; number < 30; ++number) {
    Request("large", kStart);
  }
  Request("small", kStart);
  const auto actions = control.Finish({ "large-0" }, kStart + 1_s);
  CHECK(Started(actions));
  STRCMP_EQUAL("small-30", actions[0].request.value.c_str());
}

TEST(admission, CapacityIsDividedByWeightBetweenBackloggedCustomers)
{
  Configure(20, 200);
  std::vector<request_id> running;
  for (int number = 0; number < 60; ++number) {
    for (const char* customer : { "large", "heavy" }) {
      for (const auto& action : Request(customer, kStart)) {
        running.push_back(action.request);
      }
    }
  }
  for (std::size_t number = 0; number < 40; ++number) {
    for (const auto& action : control.Finish(running[number], kStart + 1_s)) {
      running.push_back(action.request);
    }
  }
  const auto heavy = std::count_if(running.end() - 20, running.end(), [](const auto& aRequest) {
    return aRequest.value.starts_with("heavy");
  });
  CHECK_EQUAL(15, heavy);
}

TEST(admission, FullQueueRefusesTheCustomerWithTheHighestDemand)
{
  Configure(1, 3);
  for (int number = 0; number < 4; ++number) {
    Request("large", kStart);
  }
  auto actions = Request("large", kStart);
  CHECK_EQUAL(1, actions.size());
  CHECK(actions[0].verdict == admission_verdict::customer_over_share);
  CHECK(actions[0].retryAfter >= 1_s);
  actions = Request("small", kStart);
  CHECK_EQUAL(1, actions.size());
  STRCMP_EQUAL("large-3", actions[0].request.value.c_str());
  CHECK_EQUAL(3, control.Waiting());
}

TEST(admission, RequestsOfACustomerAreOrderedByPriorityThenDeadline)
{
  Configure(1, 8);
  Request("large", kStart);
  Request("large", kStart, 3, kStart + 60_s);
  Request("large", kStart, 3, kStart + 30_s);
  Request("large", kStart, 0, kStart + 90_s);
  const char* expected[] = { "large-3", "large-2", "large-1" };
  request_id running{ "large-0" };
  for (const char* next : expected) {
    running = control.Finish(running, kStart + 100_ms).at(0).request;
    STRCMP_EQUAL(next, running.value.c_str());
  }
}

TEST(admission, RequestWithTooLongAnEstimatedWaitIsRefusedAtOnce)
{
  Configure(1, 100);
  request_id running = Request("large", kStart).at(0).request;
  for (int number = 1; number <= 20; ++number) {
    Request("large", kStart, 0);
  }
  for (std::int64_t second = 1; second <= 10; ++second) {
    running = control.Finish(running, kStart + 1_s * second).at(0).request;
  }
  const time_point now = kStart + 10_s;
  const auto actions = Request("large", now, kDefaultPriority, now + 5_s);
  CHECK_EQUAL(1, actions.size());
  CHECK(actions[0].verdict == admission_verdict::wait_exceeds_deadline);
  CHECK(actions[0].retryAfter > 5_s);
  CHECK(Request("small", now, kDefaultPriority, now + 5_s).empty());
}

TEST(admission, WaitingRequestIsRefusedWhenItsDeadlinePasses)
{
  Configure(1, 8);
  Request("large", kStart);
  Request("small", kStart, kDefaultPriority, kStart + 2_s);
  CHECK(control.Tick(kStart + 1_s).empty());
  const auto actions = control.Tick(kStart + 2_s);
  CHECK_EQUAL(1, actions.size());
  CHECK(actions[0].verdict == admission_verdict::deadline_passed);
  CHECK_EQUAL(0, control.Waiting());
}

TEST(admission, UseAtOtherRoutersCountsTowardsFairShare)
{
  Configure(9, 50);
  control.Apply(Share("r2", "large", 6), kStart);
  control.Tick(kStart + 500_ms);
  std::vector<request_id> running;
  while (control.Waiting() == 0) {
    for (const auto& action : Request("small", kStart)) {
      running.push_back(action.request);
    }
  }
  Request("large", kStart);
  const auto actions = control.Finish(running.front(), kStart + 100_ms);
  STRCMP_EQUAL("small", actions.at(0).request.value.substr(0, 5).c_str());
}

TEST(admission, LimitIsAnEqualPartPlusAnEqualPartOfIdleCapacity)
{
  Configure(90, 50);
  for (int router = 2; router <= 9; ++router) {
    control.Apply(Share(fmt::format("r{}", router).c_str(), "large", 10), kStart);
  }
  control.Tick(kStart + 500_ms);
  CHECK_EQUAL(10, control.Limit());
  for (int router = 2; router <= 9; ++router) {
    control.Apply(Share(fmt::format("r{}", router).c_str(), "large", 0), kStart + 1_s);
  }
  control.Tick(kStart + 1_s);
  CHECK_EQUAL(10, control.Limit());
  for (int number = 0; number < 10; ++number) {
    Request("small", kStart + 1_s);
  }
  control.Tick(kStart + 1400_ms);
  CHECK_EQUAL(10, control.Limit());
  control.Tick(kStart + 1500_ms);
  CHECK_EQUAL(18, control.Limit());
}

TEST(admission, SilentRoutersKeepTheirPartUntilTheirLifetimeEnds)
{
  Configure(90, 50);
  for (int router = 2; router <= 9; ++router) {
    control.Apply(Share(fmt::format("r{}", router).c_str(), "large", 0), kStart);
  }
  for (int number = 0; number < 10; ++number) {
    Request("small", kStart);
  }
  control.Tick(kStart + kShareLifetime);
  CHECK_EQUAL(10, control.Limit());
  control.Tick(kStart + kRouterLifetime);
  CHECK_EQUAL(90, control.Limit());
}

TEST(admission, ListedRoutersKeepTheirPartWithoutMeshMessages)
{
  control.SetRouterCount(9);
  Configure(90, 50);
  for (int number = 0; number < 20; ++number) {
    Request("small", kStart);
  }
  for (std::int64_t second = 1; second < 600; ++second) {
    control.SetObservedLoad(90, kStart + 1_s * second);
    control.Tick(kStart + 1_s * second);
    CHECK_EQUAL(10, control.Limit());
  }
}

TEST(admission, OnlyActiveRouterUsesCapacityThatUpstreamsReportAsIdle)
{
  control.SetRouterCount(9);
  Configure(90, 100);
  for (int number = 0; number < 90; ++number) {
    Request("small", kStart);
  }
  for (std::int64_t second = 1; second < 60; ++second) {
    control.SetObservedLoad(control.Running(), kStart + 1_s * second);
    control.Tick(kStart + 1_s * second);
  }
  CHECK(control.Running() > 80);
  control.Tick(kStart + 60_s + kObservedLoadLifetime);
  CHECK(control.Limit() < 90);
}

TEST(admission, UnknownCustomersAreRefusedAndRequestsOfRemovedCustomersFinish)
{
  Configure(2, 8);
  CHECK(Request("unlisted", kStart).at(0).verdict == admission_verdict::unknown_customer);
  Request("small", kStart);
  service_document document = Document(2, 8);
  document.customers.pop_back();
  document.customers.pop_back();
  control.SetDocument(document);
  CHECK(Request("small", kStart).at(0).verdict == admission_verdict::unknown_customer);
  control.Tick(kStart);
  control.Finish({ "small-1" }, kStart);
  CHECK_EQUAL(0, control.Running());
}

TEST(admission, CallerDisconnectReleasesItsPlace)
{
  Configure(1, 8);
  Request("large", kStart);
  Request("large", kStart);
  CHECK(control.Cancel({ "large-1" }, kStart).empty());
  CHECK_EQUAL(0, control.Waiting());
  Request("small", kStart);
  CHECK(Started(control.Cancel({ "large-0" }, kStart)));
}
