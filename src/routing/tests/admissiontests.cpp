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
  admission gate{ { "r1" }, { "vakt-model" } };
  int requests = 0;

  void Open(std::int64_t aConcurrency, std::int64_t aQueue)
  {
    gate.SetDocument(Document(aConcurrency, aQueue));
    gate.SetUpstreams(1, kStart);
  }
  std::vector<admission_action> Ask(const char* aCustomer,
                                    time_point aNow,
                                    std::uint8_t aPriority = kDefaultPriority,
                                    time_point aDeadline = { INT64_MAX })
  {
    const request_id request{ fmt::format("{}-{}", aCustomer, requests++) };
    return gate.Arrive({ request, { aCustomer }, aPriority, aDeadline }, aNow);
  }
  static bool Started(const std::vector<admission_action>& aActions)
  {
    return aActions.size() == 1 && aActions[0].verdict == admission_verdict::start;
  }
  peers::share_message Share(const char* aRouter, const char* aCustomer, std::uint32_t aRunning)
  {
    return { { aRouter }, { "vakt-model" }, { aCustomer }, aRunning, 0, {} };
  }
};
// clang-format on

TEST(admission, OneCustomerMayUseAllThatIsIdle)
{
  Open(4, 8);
  for (int number = 0; number < 4; ++number) {
    CHECK(Started(Ask("large", kStart)));
  }
  CHECK(Ask("large", kStart).empty());
  CHECK_EQUAL(1, gate.Waiting());
}

TEST(admission, SmallCustomerGetsTheNextPlaceBeforeALargeOnesBacklog)
{
  Open(2, 50);
  for (int number = 0; number < 30; ++number) {
    Ask("large", kStart);
  }
  Ask("small", kStart);
  const auto actions = gate.Finish({ "large-0" }, kStart + 1_s);
  CHECK(Started(actions));
  STRCMP_EQUAL("small-30", actions[0].request.value.c_str());
}

TEST(admission, WeightsDivideTheServiceBetweenBackloggedCustomers)
{
  Open(20, 200);
  std::vector<request_id> running;
  for (int number = 0; number < 60; ++number) {
    for (const char* customer : { "large", "heavy" }) {
      for (const auto& action : Ask(customer, kStart)) {
        running.push_back(action.request);
      }
    }
  }
  for (std::size_t number = 0; number < 40; ++number) {
    for (const auto& action : gate.Finish(running[number], kStart + 1_s)) {
      running.push_back(action.request);
    }
  }
  const auto heavy = std::count_if(running.end() - 20, running.end(), [](const auto& aRequest) {
    return aRequest.value.starts_with("heavy");
  });
  CHECK_EQUAL(15, heavy);
}

TEST(admission, FullQueueTurnsAwayTheCustomerThatDemandsMost)
{
  Open(1, 3);
  for (int number = 0; number < 4; ++number) {
    Ask("large", kStart);
  }
  auto actions = Ask("large", kStart);
  CHECK_EQUAL(1, actions.size());
  CHECK(actions[0].verdict == admission_verdict::customer_over_share);
  CHECK(actions[0].retryAfter >= 1_s);
  actions = Ask("small", kStart);
  CHECK_EQUAL(1, actions.size());
  STRCMP_EQUAL("large-3", actions[0].request.value.c_str());
  CHECK_EQUAL(3, gate.Waiting());
}

TEST(admission, PriorityThenDeadlineOrderACustomersOwnRequests)
{
  Open(1, 8);
  Ask("large", kStart);
  Ask("large", kStart, 3, kStart + 60_s);
  Ask("large", kStart, 3, kStart + 30_s);
  Ask("large", kStart, 0, kStart + 90_s);
  const char* expected[] = { "large-3", "large-2", "large-1" };
  request_id running{ "large-0" };
  for (const char* next : expected) {
    running = gate.Finish(running, kStart + 100_ms).at(0).request;
    STRCMP_EQUAL(next, running.value.c_str());
  }
}

TEST(admission, RequestThatCouldNotStartInTimeIsRefusedAtOnce)
{
  Open(1, 100);
  request_id running = Ask("large", kStart).at(0).request;
  for (int number = 1; number <= 20; ++number) {
    Ask("large", kStart, 0);
  }
  for (std::int64_t second = 1; second <= 10; ++second) {
    running = gate.Finish(running, kStart + 1_s * second).at(0).request;
  }
  const time_point now = kStart + 10_s;
  const auto actions = Ask("large", now, kDefaultPriority, now + 5_s);
  CHECK_EQUAL(1, actions.size());
  CHECK(actions[0].verdict == admission_verdict::wait_exceeds_deadline);
  CHECK(actions[0].retryAfter > 5_s);
  CHECK(Ask("small", now, kDefaultPriority, now + 5_s).empty());
}

TEST(admission, WaitingRequestIsRefusedAsSoonAsItsDeadlineIsLost)
{
  Open(1, 8);
  Ask("large", kStart);
  Ask("small", kStart, kDefaultPriority, kStart + 2_s);
  CHECK(gate.Tick(kStart + 1_s).empty());
  const auto actions = gate.Tick(kStart + 2_s);
  CHECK_EQUAL(1, actions.size());
  CHECK(actions[0].verdict == admission_verdict::deadline_passed);
  CHECK_EQUAL(0, gate.Waiting());
}

TEST(admission, UseAtOtherRoutersCountsTowardsFairness)
{
  Open(9, 50);
  gate.Apply(Share("r2", "large", 6), kStart);
  gate.Tick(kStart + 500_ms);
  std::vector<request_id> running;
  while (gate.Waiting() == 0) {
    for (const auto& action : Ask("small", kStart)) {
      running.push_back(action.request);
    }
  }
  Ask("large", kStart);
  const auto actions = gate.Finish(running.front(), kStart + 100_ms);
  STRCMP_EQUAL("small", actions.at(0).request.value.substr(0, 5).c_str());
}

TEST(admission, RouterUsesItsPartAndItsShareOfTheIdleRest)
{
  Open(90, 50);
  for (int router = 2; router <= 9; ++router) {
    gate.Apply(Share(fmt::format("r{}", router).c_str(), "large", 10), kStart);
  }
  gate.Tick(kStart + 500_ms);
  CHECK_EQUAL(10, gate.Limit());
  for (int router = 2; router <= 9; ++router) {
    gate.Apply(Share(fmt::format("r{}", router).c_str(), "large", 0), kStart + 1_s);
  }
  gate.Tick(kStart + 1_s);
  CHECK_EQUAL(10, gate.Limit());
  for (int number = 0; number < 10; ++number) {
    Ask("small", kStart + 1_s);
  }
  gate.Tick(kStart + 1400_ms);
  CHECK_EQUAL(10, gate.Limit());
  gate.Tick(kStart + 1500_ms);
  CHECK_EQUAL(18, gate.Limit());
}

TEST(admission, SilentRoutersKeepTheirPartUntilTheyCountAsGone)
{
  Open(90, 50);
  for (int router = 2; router <= 9; ++router) {
    gate.Apply(Share(fmt::format("r{}", router).c_str(), "large", 0), kStart);
  }
  for (int number = 0; number < 10; ++number) {
    Ask("small", kStart);
  }
  gate.Tick(kStart + kShareLifetime);
  CHECK_EQUAL(10, gate.Limit());
  gate.Tick(kStart + kRouterLifetime);
  CHECK_EQUAL(90, gate.Limit());
}

TEST(admission, RoutersThatTheListNamesKeepTheirPartHoweverLongTheMeshIsSilent)
{
  gate.SetRouterCount(9);
  Open(90, 50);
  for (int number = 0; number < 20; ++number) {
    Ask("small", kStart);
  }
  for (std::int64_t second = 1; second < 600; ++second) {
    gate.SetObservedLoad(90, kStart + 1_s * second);
    gate.Tick(kStart + 1_s * second);
    CHECK_EQUAL(10, gate.Limit());
  }
}

TEST(admission, LoneRouterOfManyListedOnesUsesWhatTheUpstreamsShowAsIdle)
{
  gate.SetRouterCount(9);
  Open(90, 100);
  for (int number = 0; number < 90; ++number) {
    Ask("small", kStart);
  }
  for (std::int64_t second = 1; second < 60; ++second) {
    gate.SetObservedLoad(gate.Running(), kStart + 1_s * second);
    gate.Tick(kStart + 1_s * second);
  }
  CHECK(gate.Running() > 80);
  gate.Tick(kStart + 60_s + kObservedLoadLifetime);
  CHECK(gate.Limit() < 90);
}

TEST(admission, UnknownCustomersAreRefusedAndRemovedOnesFinish)
{
  Open(2, 8);
  CHECK(Ask("stranger", kStart).at(0).verdict == admission_verdict::unknown_customer);
  Ask("small", kStart);
  service_document document = Document(2, 8);
  document.customers.pop_back();
  document.customers.pop_back();
  gate.SetDocument(document);
  CHECK(Ask("small", kStart).at(0).verdict == admission_verdict::unknown_customer);
  gate.Tick(kStart);
  gate.Finish({ "small-1" }, kStart);
  CHECK_EQUAL(0, gate.Running());
}

TEST(admission, CallerThatLeavesFreesItsPlace)
{
  Open(1, 8);
  Ask("large", kStart);
  Ask("large", kStart);
  CHECK(gate.Leave({ "large-1" }, kStart).empty());
  CHECK_EQUAL(0, gate.Waiting());
  Ask("small", kStart);
  CHECK(Started(gate.Leave({ "large-0" }, kStart)));
}
