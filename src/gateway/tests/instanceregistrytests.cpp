#include "gateway/instanceregistry.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

namespace {

instance_change
Entry(const std::string& aId, std::uint64_t aRevision = 1, bool aDraining = false)
{
  fleet::instance instance;
  instance.id = { aId };
  instance.draining = aDraining;
  return { instance.id, { aRevision }, instance };
}

instance_change
Removal(const std::string& aId, std::uint64_t aRevision = 2)
{
  return { { aId }, { aRevision }, std::nullopt };
}

} // namespace

// clang-format off
TEST_GROUP(instance_registry)
{
  fleet::fleet_view view;
  instance_registry registry{ view };
  time_point now{ 1000 };

  bool Apply(const instance_change& aChange, change_source aFrom = change_source::store)
  {
    return registry.ApplyChange(aChange, aFrom, now);
  }
  bool Has(const char* aId) { return view.Find({ aId }) != nullptr; }
};
// clang-format on

TEST(instance_registry, RemovalIsImmediateWithoutAnOutage)
{
  registry.ApplyList({ Entry("a"), Entry("b") }, { 1 }, now);
  CHECK(Apply(Removal("a")));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, EntryThatExpiredDuringAnOutageIsRetainedBriefly)
{
  registry.ApplyList({ Entry("a"), Entry("b") }, { 1 }, now);
  registry.OnStoreRecovered(now);
  registry.ApplyList({ Entry("b") }, { 2 }, now);
  CHECK(Has("a"));
  CHECK_FALSE(registry.RemoveExpired(now + 1_s));
  CHECK(registry.RemoveExpired(now + 2_s));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, EntryRemovedSoonAfterRecoveryIsDroppedWithinTheLeaveNotice)
{
  registry.ApplyList({ Entry("a") }, { 1 }, now);
  registry.OnStoreRecovered(now);
  now = now + 1800_ms;
  Apply(Removal("a"));
  CHECK(registry.RemoveExpired(now + 200_ms));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, ReregisteredEntryIsNotRemoved)
{
  registry.ApplyList({ Entry("a") }, { 1 }, now);
  registry.OnStoreRecovered(now);
  Apply(Removal("a", 2));
  Apply(Entry("a", 3));
  CHECK_FALSE(registry.RemoveExpired(now + 10_s));
  CHECK(Has("a"));
}

TEST(instance_registry, ListWithoutAnOutageRemovesUnlistedEntries)
{
  registry.ApplyList({ Entry("a"), Entry("b") }, { 1 }, now);
  registry.ApplyList({ Entry("b") }, { 2 }, now);
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, DrainingStateFromAPeerIsAppliedWhileTheStoreIsUnavailable)
{
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  CHECK(Apply(Entry("a", 6, true), change_source::peer));
  CHECK(view.Find({ "a" })->draining);
}

TEST(instance_registry, OutdatedChangesAreIgnored)
{
  registry.ApplyList({ Entry("a", 6, true) }, { 6 }, now);
  CHECK_FALSE(Apply(Entry("a", 5), change_source::peer));
  CHECK_FALSE(Apply(Entry("a", 5), change_source::store));
  CHECK_FALSE(Apply(Entry("a", 6), change_source::peer));
  CHECK(view.Find({ "a" })->draining);
}

TEST(instance_registry, PeerRemovalIsDelayedWhileTheStoreIsUnavailable)
{
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  registry.OnStoreRecovered(now);
  registry.OnStoreLost();
  now = now + 10_s;
  CHECK(Apply(Removal("a", 6), change_source::peer));
  CHECK(Has("a"));
  CHECK_FALSE(registry.RemoveExpired(now + 1_s));
  CHECK(registry.RemoveExpired(now + 2_s));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, PeerRemovalIsImmediateWhileTheStoreIsAvailable)
{
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  registry.OnStoreRecovered(now);
  now = now + 10_s;
  CHECK(Apply(Removal("a", 6), change_source::peer));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, PeerRemovalNeverRetainsAnEntryLongerThanTheStoreRemoval)
{
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  now = now + 500_ms;
  Apply(Removal("a", 6), change_source::peer);
  registry.OnStoreRecovered(now);
  now = now + 500_ms;
  Apply(Removal("a", 6), change_source::store);
  CHECK(registry.RemoveExpired(now + 1400_ms));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, PeerRemovalSoonAfterRecoveryIsRetainedFromTheRecovery)
{
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  registry.OnStoreRecovered(now);
  now = now + 1_s;
  Apply(Removal("a", 6), change_source::peer);
  CHECK(Has("a"));
  Apply(Removal("a", 6), change_source::store);
  CHECK(registry.RemoveExpired(now + 900_ms));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, StoreRemovalEndsTheRetentionOfAPeerRemoval)
{
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  registry.OnStoreLost();
  Apply(Removal("a", 6), change_source::peer);
  CHECK_FALSE(Apply(Removal("a", 6), change_source::store));
  CHECK_FALSE(Has("a"));
}

TEST(instance_registry, OlderListDoesNotRemoveANewerPeerEntry)
{
  registry.ApplyList({ Entry("b", 5) }, { 5 }, now);
  Apply(Entry("a", 9), change_source::peer);
  registry.ApplyList({ Entry("b", 5) }, { 8 }, now);
  CHECK(Has("a"));
}

TEST(instance_registry, ApplyListReturnsOnlyNewEntries)
{
  Apply(Entry("a", 5), change_source::peer);
  const auto accepted = registry.ApplyList({ Entry("a", 5), Entry("b", 4) }, { 6 }, now);
  UNSIGNED_LONGS_EQUAL(1, accepted.size());
  STRCMP_EQUAL("b", accepted.front().id.value.c_str());
}
