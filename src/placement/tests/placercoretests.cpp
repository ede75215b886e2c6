#include "placement/tests/mocks/placementharness.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

service_document
Service(const std::string& aName, std::int64_t aReplicas, std::int64_t aSize)
{
  service_document document;
  document.service.value = aName;
  document.model = { "verifier", "", "v1" };
  document.capacity = { aReplicas, 1, aSize };
  return document;
}

placer_options
Placer(const std::string& aName)
{
  placer_options options;
  options.self.value = aName;
  return options;
}

} // namespace

TEST_GROUP(placer_core)
{
  placement_harness harness{ 1 };

  unsigned CountLoads() const
  {
    unsigned loads = 0;
    for (const auto& [id, engine] : harness.engines) {
      loads += engine.loads;
    }
    return loads;
  }

  /// Runs the simulation and returns the lowest number of eligible groups of verifier-llm, sampled
  /// every 100 ms.
  int FewestDuring(duration aDuration)
  {
    int fewest = harness.CountEligible("verifier-llm");
    const time_point end = harness.Now() + aDuration;
    while (harness.Now() < end) {
      harness.RunFor(100_ms);
      fewest = std::min(fewest, harness.CountEligible("verifier-llm"));
    }
    return fewest;
  }

  /// Returns the number of eligible groups whose model has this adapter and version.
  int CountModels(const std::string& aAdapter, const std::string& aVersion) const
  {
    int count = 0;
    for (const domain_table& table : harness.Tables()) {
      for (const group& entry : table.groups) {
        const bool same = entry.model.adapter == aAdapter && entry.model.version == aVersion;
        count += same && harness.IsEligible(entry) ? 1 : 0;
      }
    }
    return count;
  }
};

TEST(placer_core, ADocumentIsServedByTheRequestedNumberOfGroups)
{
  harness.AddInstances("fabric-1", "gasabo", 8);
  harness.AddInstances("fabric-2", "nyarugenge", 8);
  harness.AddPlacer(Placer("p1"));
  harness.AddPlacer(Placer("p2"));
  harness.PutDocument(Service("verifier-llm", 3, 4));
  harness.RunFor(90_s);
  CHECK_EQUAL(3, harness.CountEligible("verifier-llm"));
}

TEST(placer_core, SteadyStateWritesNothingButLeases)
{
  harness.AddInstances("fabric-1", "gasabo", 8);
  harness.AddPlacer(Placer("p1"));
  harness.AddPlacer(Placer("p2"));
  harness.PutDocument(Service("verifier-llm", 2, 4));
  harness.RunFor(90_s);
  const std::uint64_t before = harness.storeWrites;
  harness.RunFor(600_s);
  CHECK_EQUAL(2, harness.CountEligible("verifier-llm"));
  UNSIGNED_LONGS_EQUAL(before, harness.storeWrites);
}

TEST(placer_core, ALostMemberIsReplacedByAFreeInstanceOfItsDomain)
{
  harness.AddInstances("fabric-1", "gasabo", 5);
  harness.AddPlacer(Placer("p1"));
  harness.PutDocument(Service("verifier-llm", 1, 4));
  harness.RunFor(60_s);
  CHECK_EQUAL(1, harness.CountEligible("verifier-llm"));
  harness.Kill(harness.engines.begin()->second);
  harness.RunFor(2_s);
  CHECK_EQUAL(0, harness.CountEligible("verifier-llm"));
  harness.RunFor(8_s);
  CHECK_EQUAL(1, harness.CountEligible("verifier-llm"));
}

TEST(placer_core, AnAdapterChangesWithoutReloadingWeights)
{
  harness.AddInstances("fabric-1", "gasabo", 8);
  harness.AddPlacer(Placer("p1"));
  service_document document = Service("verifier-llm", 2, 4);
  harness.PutDocument(document);
  harness.RunFor(60_s);
  const unsigned before = CountLoads();
  document.model.adapter = "kinyarwanda";
  harness.PutDocument(document);
  harness.RunFor(60_s);
  CHECK_EQUAL(2, harness.CountEligible("verifier-llm"));
  CHECK_EQUAL(2, CountModels("kinyarwanda", "v1"));
  CHECK_EQUAL(before, CountLoads());
}

TEST(placer_core, AModelVersionIsRolledOutWithoutFallingBelowTheMinimum)
{
  harness.AddInstances("fabric-1", "gasabo", 8);
  harness.AddInstances("fabric-2", "kicukiro", 8);
  harness.AddPlacer(Placer("p1"));
  harness.AddPlacer(Placer("p2"));
  service_document document = Service("verifier-llm", 4, 4);
  document.capacity.minReplicas = 3;
  harness.PutDocument(document);
  harness.RunFor(120_s);
  document.model.version = "v2";
  harness.PutDocument(document);
  const int fewest = FewestDuring(240_s);
  CHECK_EQUAL(4, CountModels("", "v2"));
  CHECK_EQUAL(3, fewest);
}

TEST(placer_core, AModelVersionIsRolledOutBySurgeWhenCapacityIsFree)
{
  harness.AddInstances("fabric-1", "gasabo", 8);
  harness.AddInstances("fabric-2", "kicukiro", 4);
  harness.AddPlacer(Placer("p1"));
  service_document document = Service("verifier-llm", 2, 4);
  document.capacity.minReplicas = 2;
  harness.PutDocument(document);
  harness.RunFor(120_s);
  document.model.version = "v2";
  harness.PutDocument(document);
  const int fewest = FewestDuring(180_s);
  CHECK_EQUAL(2, CountModels("", "v2"));
  CHECK_EQUAL(2, fewest);
}

TEST(placer_core, TheGroupOfALeavingInstanceIsReplacedBeforeItStops)
{
  harness.AddInstances("fabric-1", "gasabo", 4);
  harness.AddInstances("fabric-2", "kicukiro", 4);
  harness.AddPlacer(Placer("p1"));
  harness.PutDocument(Service("verifier-llm", 1, 4));
  harness.RunFor(60_s);
  const std::string domain =
    harness.engines.at({ "fabric-1-000" }).holdsGroup ? "fabric-1" : "fabric-2";
  harness.engines.at({ domain + "-002" }).leaving = true;
  const int fewest = FewestDuring(60_s);
  CHECK_EQUAL(1, fewest);
  CHECK_FALSE(harness.engines.at({ domain + "-002" }).holdsGroup);
}

TEST(placer_core, APlannedStopWaitsForTheRequestsInFlight)
{
  harness.AddInstances("fabric-1", "gasabo", 4);
  harness.AddPlacer(Placer("p1"));
  service_document document = Service("verifier-llm", 1, 4);
  harness.PutDocument(document);
  harness.RunFor(60_s);
  for (auto& [id, engine] : harness.engines) {
    engine.inFlight = engine.order.rank == 0 ? 1 : 0;
  }
  document.retired = true;
  harness.PutDocument(document);
  harness.RunFor(60_s);
  for (auto& [id, engine] : harness.engines) {
    CHECK(engine.holdsGroup);
    engine.inFlight = 0;
  }
  harness.RunFor(20_s);
  for (const auto& [id, engine] : harness.engines) {
    CHECK_FALSE(engine.holdsGroup);
  }
}

TEST(placer_core, AStragglerIsReplacedWithoutDowntime)
{
  harness.AddInstances("fabric-1", "gasabo", 4);
  harness.AddInstances("fabric-2", "kicukiro", 4);
  harness.AddPlacer(Placer("p1"));
  harness.PutDocument(Service("verifier-llm", 1, 4));
  harness.RunFor(60_s);
  const std::string domain =
    harness.engines.at({ "fabric-1-000" }).holdsGroup ? "fabric-1" : "fabric-2";
  harness.engines.at({ domain + "-001" }).stepTimeMs = 200;
  const int fewest = FewestDuring(60_s);
  CHECK_EQUAL(1, fewest);
  CHECK_FALSE(harness.engines.at({ domain + "-001" }).holdsGroup);
}

TEST(placer_core, AnUnmetServiceHasAStatusWithTheReason)
{
  harness.AddInstances("fabric-1", "gasabo", 3);
  harness.AddInstances("fabric-2", "kicukiro", 2);
  harness.AddPlacer(Placer("p1"));
  harness.PutDocument(Service("verifier-llm", 1, 4));
  harness.RunFor(30_s);
  platform::memory_object_store store(harness.content);
  const auto status = store.Get({ kStatusKind, "verifier-llm" });
  CHECK(status.has_value());
  STRCMP_CONTAINS(
    "needs 4 instances in one fabric domain; the most that are left are 3 in fabric-1",
    status->value.c_str());
}

TEST(placer_core, ALaterPlannerDeletesTheStatusOfAServiceThatIsNoLongerUnmet)
{
  harness.AddInstances("fabric-1", "gasabo", 3);
  auto& first = harness.AddPlacer(Placer("p1"));
  harness.PutDocument(Service("verifier-llm", 1, 4));
  harness.RunFor(30_s);
  harness.KillPlacer(first);
  harness.AddInstances("fabric-2", "gasabo", 4);
  harness.AddPlacer(Placer("p2"));
  harness.RunFor(90_s);
  platform::memory_object_store store(harness.content);
  CHECK_FALSE(store.Get({ kStatusKind, "verifier-llm" }).has_value());
  CHECK_EQUAL(1, harness.CountEligible("verifier-llm"));
}

TEST(placer_core, AnOutageOfThePlatformChangesNoTable)
{
  harness.AddInstances("fabric-1", "gasabo", 4);
  harness.AddInstances("fabric-2", "kicukiro", 4);
  harness.AddPlacer(Placer("p1"));
  harness.AddPlacer(Placer("p2"));
  harness.PutDocument(Service("verifier-llm", 2, 4));
  harness.RunFor(90_s);
  const auto before = harness.Tables();
  harness.storeDown = true;
  harness.RunFor(120_s);
  harness.storeDown = false;
  harness.RunFor(60_s);
  CHECK(before == harness.Tables());
}

TEST(placer_core, AWaitingServiceOfHigherPriorityGetsIdleInstancesFirst)
{
  harness.AddInstances("fabric-1", "gasabo", 4);
  harness.AddPlacer(Placer("p1"));
  service_document low = Service("low", 1, 4);
  service_document high = Service("high", 1, 4);
  high.priority = 9;
  harness.PutDocument(low);
  harness.PutDocument(high);
  harness.RunFor(60_s);
  CHECK_EQUAL(1, harness.CountEligible("high"));
  CHECK_EQUAL(0, harness.CountEligible("low"));
}

TEST(placer_core, AGroupMovesToDefragmentADomainForAWaitingLargeGroup)
{
  harness.AddInstances("fabric-1", "gasabo", 4);
  harness.AddInstances("fabric-2", "gasabo", 3);
  harness.AddPlacer(Placer("p1"));
  // The first group is placed in the smaller domain, the second in the larger one.
  harness.PutDocument(Service("small", 2, 2));
  harness.RunFor(60_s);
  harness.AddInstances("fabric-3", "gasabo", 2);
  harness.PutDocument(Service("large", 1, 4));
  harness.RunFor(120_s);
  CHECK_EQUAL(1, harness.CountEligible("large"));
  CHECK_EQUAL(2, harness.CountEligible("small"));
}
