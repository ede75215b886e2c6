#include "placement/tests/mocks/placementharness.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;

// A domain's owner is followed by another one, while orders of the former one may be under way.
// clang-format off
TEST_GROUP(take_over)
{
  placement_harness harness{ 1 };
  /// The latest order that each instance was sent by the first owner.
  std::map<instance_id, engine_order> formerOrders;

  static placer_options Placer(const std::string& aName)
  {
    placer_options options;
    options.self.value = aName;
    return options;
  }

  /// Starts one placer and a service of one group with four members.
  placement_harness::simulated_placer& StartFirstOwner()
  {
    harness.AddInstances("fabric-1", "gasabo", 4);
    service_document document;
    document.service.value = "verifier-llm";
    document.model = { "verifier", "", "v1" };
    document.capacity = { 1, 1, 4 };
    harness.PutDocument(document);
    harness.beforeSend = [this](const send_order& aOrder, const auto& aPlacer) {
      if (aPlacer.options.self.value == "a") {
        formerOrders[aOrder.instance] = aOrder.order;
      }
    };
    return harness.AddPlacer(Placer("a"));
  }

  /// Runs until all four instances have been ordered to load.
  void AwaitLoading()
  {
    for (int step = 0; step < 600 && formerOrders.size() < 4; ++step) {
      harness.RunFor(100_ms);
    }
    UNSIGNED_LONGS_EQUAL(4, formerOrders.size());
  }

  /// Runs until a group serves, for a minute at the most; returns the table.
  domain_table AwaitServing()
  {
    for (int step = 0; step < 600 && harness.CountEligible("verifier-llm") == 0; ++step) {
      harness.RunFor(100_ms);
    }
    CHECK_EQUAL(1, harness.CountEligible("verifier-llm"));
    return harness.Tables().front();
  }
};
// clang-format on

// Guards against a group that the next owner brings into service while its members take orders of
// the former owner still, which may be under way.
TEST(take_over, MembersOfAGroupTakeNoOrderOfTheFormerOwnerOnceItServes)
{
  placement_harness::simulated_placer& first = StartFirstOwner();
  AwaitLoading();
  harness.KillPlacer(first);
  harness.AddPlacer(Placer("b"));
  const domain_table table = AwaitServing();
  CHECK(table.token.value > formerOrders.begin()->second.token.value);
  for (auto& [id, engine] : harness.engines) {
    engine_order late = formerOrders.at(id);
    late.kind = order_kind::release;
    LONGS_EQUAL(static_cast<int>(order_outcome::stale_token),
                static_cast<int>(engine.Accept(late, harness.weights, harness.Now())));
  }
}

// Guards against weights that are loaded again since the next owner repeats the order to load.
TEST(take_over, RepeatedOrderToLoadLoadsNothingAgain)
{
  placement_harness::simulated_placer& first = StartFirstOwner();
  AwaitLoading();
  harness.KillPlacer(first);
  harness.AddPlacer(Placer("b"));
  AwaitServing();
  for (const auto& [id, engine] : harness.engines) {
    UNSIGNED_LONGS_EQUAL(1, engine.loads);
  }
}
