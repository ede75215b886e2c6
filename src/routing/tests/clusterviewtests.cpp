#include "routing/clusterview.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

constexpr time_point kStart{ 100000 };
constexpr const char* kDocument = R"({
  "service": "vakt-model",
  "model": {"name": "vakt", "version": "v1"},
  "capacity": {"replicas": 1, "instances_per_replica": 2},
  "customers": []
})";

peers::document_message
Document(std::uint64_t aRevision, std::string aText = kDocument)
{
  return { { "vakt-model" }, { aRevision }, std::move(aText) };
}

placement::group
TwoMemberGroup(std::uint64_t aGeneration)
{
  placement::group group;
  group.id.value = "g1";
  group.service.value = "vakt-model";
  group.model = { "vakt", "", "v1" };
  group.state = placement::group_state::serving;
  group.version.value = aGeneration;
  group.members = { { { "i1" }, { "127.0.0.1:1" }, { 3 } },
                    { { "i2" }, { "127.0.0.1:2" }, { 5 } } };
  return group;
}

peers::table_message
Table(std::uint64_t aRevision, const placement::group& aGroup)
{
  placement::domain_table table;
  table.domain.value = "d1";
  table.groups = { aGroup };
  return { { "d1" }, { aRevision }, placement::RenderDomainTable(table) };
}

peers::presence_message
Observed(const char* aObserver, std::uint64_t aGeneration, bool aWhole, duration aAge = {})
{
  return { { "g1" }, { aGeneration }, { aObserver }, aAge, aWhole, 4, 1 };
}

platform::listed_instance
Listed(const char* aInstance, std::uint64_t aLife, const char* aService = "")
{
  platform::listed_instance instance;
  instance.id.value = aInstance;
  instance.incarnation.value = aLife;
  instance.service.value = aService;
  return instance;
}

} // namespace

// clang-format off
TEST_GROUP(cluster_view)
{
  cluster_view view;

  ineligibility IneligibilityAt(time_point aNow)
  {
    const auto service = view.Service({ "vakt-model" });
    return service->candidates.at(0).IneligibilityAt(aNow);
  }
  void Serve()
  {
    view.Apply(Document(1), kStart);
    view.Apply(Table(2, TwoMemberGroup(7)), kStart);
    view.Apply(Observed("r1", 7, true), kStart);
  }
};
// clang-format on

TEST(cluster_view, GroupIsEligibleOnlyWithARecentObservationOfItsGeneration)
{
  view.Apply(Document(1), kStart);
  view.Apply(Table(2, TwoMemberGroup(7)), kStart);
  CHECK(IneligibilityAt(kStart) == ineligibility::never_observed);
  view.Apply(Observed("r1", 6, true), kStart);
  CHECK(IneligibilityAt(kStart) == ineligibility::never_observed);
  CHECK(view.Apply(Observed("r2", 7, true, 500_ms), kStart) == view_change::eligibility);
  CHECK(IneligibilityAt(kStart + 1499_ms) == ineligibility::none);
  CHECK(IneligibilityAt(kStart + 1500_ms) == ineligibility::evidence_expired);
}

TEST(cluster_view, MemberMismatchMakesIneligibleAtOnceAndOlderObservationDoesNotRevertIt)
{
  Serve();
  CHECK(view.Apply(Observed("r2", 7, false), kStart + 300_ms) == view_change::eligibility);
  CHECK(IneligibilityAt(kStart + 300_ms) == ineligibility::members_mismatch);
  view.Apply(Observed("r1", 7, true, 200_ms), kStart + 400_ms);
  CHECK(IneligibilityAt(kStart + 400_ms) == ineligibility::members_mismatch);
  view.Apply(Observed("r1", 7, true), kStart + 500_ms);
  CHECK(IneligibilityAt(kStart + 500_ms) == ineligibility::none);
}

TEST(cluster_view, LaterGenerationObservedElsewhereSupersedesTheGroup)
{
  Serve();
  view.Apply(Observed("r2", 8, true), kStart + 100_ms);
  CHECK(IneligibilityAt(kStart + 100_ms) == ineligibility::generation_superseded);
  view.Apply(Table(3, TwoMemberGroup(8)), kStart + 150_ms);
  CHECK(IneligibilityAt(kStart + 150_ms) == ineligibility::none);
}

TEST(cluster_view, MemberLeavingOrRestartedMakesTheGroupIneligible)
{
  Serve();
  CHECK(view.Apply(peers::leaving_message{ { "i2" }, { 4 } }, kStart) == view_change::eligibility);
  CHECK(IneligibilityAt(kStart) == ineligibility::none);
  view.Apply(peers::leaving_message{ { "i2" }, { 5 } }, kStart);
  CHECK(IneligibilityAt(kStart) == ineligibility::member_leaving);

  cluster_view other;
  other.Apply(Table(2, TwoMemberGroup(7)), kStart);
  other.Apply(Observed("r1", 7, true), kStart);
  other.Apply(std::vector{ Listed("i1", 4) }, kStart);
  CHECK(other.Service({ "vakt-model" })->candidates[0].why == ineligibility::member_restarted);
}

TEST(cluster_view, LeavingMarkIsNotWithdrawnByALaterInstanceList)
{
  Serve();
  auto leaving = Listed("i1", 3);
  leaving.leaving = true;
  view.Apply(std::vector{ leaving }, kStart);
  view.Apply(std::vector{ Listed("i1", 3) }, kStart + 1_s);
  view.Prune(kStart + 1_s);
  CHECK(IneligibilityAt(kStart + 1_s) == ineligibility::member_leaving);
}

TEST(cluster_view, OnlyServingGroupsAreEligible)
{
  Serve();
  for (const auto state : { placement::group_state::forming,
                            placement::group_state::loading,
                            placement::group_state::draining }) {
    auto group = TwoMemberGroup(7);
    group.state = state;
    cluster_view other;
    other.Apply(Table(1, group), kStart);
    other.Apply(Observed("r1", 7, true), kStart);
    CHECK(other.Service({ "vakt-model" })->candidates[0].why == ineligibility::not_serving);
  }
}

TEST(cluster_view, OlderRevisionsAreIgnoredAndRetiredServicesStayRetired)
{
  Serve();
  CHECK(view.Apply(Document(1), kStart) == view_change::none);
  CHECK(view.Apply(Document(9, ""), kStart) == view_change::eligibility);
  CHECK_FALSE(view.Service({ "vakt-model" })->Active());
  CHECK(view.Apply(Document(8), kStart) == view_change::none);
  CHECK_FALSE(view.Service({ "vakt-model" })->Active());
  CHECK(view.Apply(Table(1, TwoMemberGroup(9)), kStart) == view_change::none);
  CHECK_EQUAL(7, view.Groups().at(0).version.value);
}

TEST(cluster_view, MalformedObjectsLeaveThePreviousVersionInForce)
{
  Serve();
  CHECK(view.Apply(Document(5, "{"), kStart) == view_change::malformed);
  CHECK_FALSE(view.LastReason().empty());
  CHECK(view.Apply(peers::table_message{ { "d1" }, { 6 }, "[]" }, kStart) ==
        view_change::malformed);
  CHECK(view.Apply(peers::table_message{ { "d2" }, { 6 }, Table(6, TwoMemberGroup(9)).text },
                   kStart) == view_change::malformed);
  CHECK(view.Service({ "vakt-model" })->Active());
  CHECK(IneligibilityAt(kStart) == ineligibility::none);
}

TEST(cluster_view, PlainServicesUseTheInstanceListAsUpstreams)
{
  auto entry = Listed("e1", 1, "desk-app");
  entry.isInternal = true;
  auto leaving = Listed("p2", 1, "desk-app");
  leaving.leaving = true;
  view.Apply(std::vector{ Listed("p1", 1, "desk-app"), leaving, entry }, kStart);
  const auto service = view.Service({ "desk-app" });
  CHECK_EQUAL(2, service->candidates.size());
  CHECK_EQUAL(1, service->routers);
  CHECK(service->candidates[0].IneligibilityAt(kStart + 3600_s) == ineligibility::none);
  CHECK(service->candidates[1].IneligibilityAt(kStart) == ineligibility::member_leaving);
}

TEST(cluster_view, RouterCountExcludesLeavingInstances)
{
  std::vector<platform::listed_instance> list;
  for (const char* name : { "e1", "e2", "e3" }) {
    list.push_back(Listed(name, 1));
    list.back().isInternal = true;
  }
  list.back().leaving = true;
  Serve();
  CHECK_EQUAL(1, view.Service({ "vakt-model" })->routers);
  view.Apply(list, kStart);
  CHECK_EQUAL(2, view.Service({ "vakt-model" })->routers);
  CHECK_EQUAL(5, view.Service({ "vakt-model" })->ReportedLoad());
}
