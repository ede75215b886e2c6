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
};

TEST(placer_core, ADocumentBecomesWholeServingGroups)
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
