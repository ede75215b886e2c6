#include "gateway/instanceregistry.h"

#include "platform/storerevision.h"

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
  registry.OnStoreLost(now);
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
  registry.OnStoreLost(now);
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

namespace {

/// Revision of the era after the one in which the tests' other entries were written.
std::uint64_t
NextEra(std::uint64_t aCounter)
{
  return platform::MakeRevision({ 1 }, aCounter)->value;
}

instance_change
Running(const std::string& aId,
        std::uint64_t aRevision,
        std::uint64_t aIncarnation,
        std::uint64_t aOrders = 0,
        bool aDraining = false)
{
  instance_change change = Entry(aId, aRevision, aDraining);
  change.entry->incarnationId = { aIncarnation };
  change.entry->acceptedOrders = aOrders;
  return change;
}

} // namespace

// Guards against an instance that left and is called again, since the copy from which the store
// came back still names it.
TEST(instance_registry, InstanceThatLeftIsNotBackBecauseAnOlderCopyNamesIt)
{
  registry.ApplyList({ Running("a", 5, 1) }, { 5 }, now);
  Apply(Removal("a", 6));
  CHECK(registry.ApplyList({ Running("a", NextEra(5), 1) }, { NextEra(5) }, now).empty());
  CHECK_FALSE(Has("a"));
  CHECK_FALSE(Apply(Running("a", NextEra(5), 1), change_source::peer));
  CHECK_FALSE(Has("a"));
  CHECK(Apply(Running("a", NextEra(9), 1)));
  CHECK(Has("a"));
}

TEST(instance_registry, InstanceThatStartedAgainIsTakenFromTheList)
{
  registry.ApplyList({ Running("a", 5, 1) }, { 5 }, now);
  Apply(Removal("a", 6));
  CHECK_EQUAL(1, registry.ApplyList({ Running("a", NextEra(3), 2) }, { NextEra(5) }, now).size());
  CHECK(Has("a"));
}

// Guards against a live instance that is dropped, since the copy does not know it yet.
TEST(instance_registry, InstanceThatTheCopyDoesNotKnowIsRetainedUntilItRegistersAgain)
{
  registry.ApplyList({ Running("a", 5, 1), Running("b", 6, 1) }, { 6 }, now);
  registry.OnStoreLost(now);
  registry.OnStoreRecovered(now);
  registry.ApplyList({ Running("a", NextEra(5), 1) }, { NextEra(5) }, now);
  CHECK(Has("b"));
  CHECK(Apply(Running("b", NextEra(6), 1)));
  CHECK_FALSE(registry.RemoveExpired(now + 5_s));
  CHECK(Has("b"));
}

// Guards against calls to a draining instance, and orders from an outdated state, since the copy
// has the state from before.
TEST(instance_registry, OlderStateOfTheCopyDoesNotReplaceALaterOne)
{
  registry.ApplyList(
    { Running("a", 5, 1, 3, true), Running("b", 6, 1, 7), Running("c", 7, 2) }, { 7 }, now);
  const auto accepted = registry.ApplyList({ Running("a", NextEra(2), 1, 3, false),
                                             Running("b", NextEra(3), 1, 6),
                                             Running("c", NextEra(4), 1) },
                                           { NextEra(4) },
                                           now);
  CHECK_EQUAL(0, accepted.size());
  CHECK(view.Find({ "a" })->draining);
  CHECK_EQUAL(7, view.Find({ "b" })->acceptedOrders);
  CHECK_EQUAL(2, view.Find({ "c" })->incarnationId.value);
}

// Guards against writes of the new era that are ignored until its counter has passed the former
// one.
TEST(instance_registry, WriteOfALaterEraCountsThoughItsCounterIsLower)
{
  registry.ApplyList({ Running("a", 500, 1) }, { 500 }, now);
  CHECK(Apply(Running("a", NextEra(4), 1, 0, true)));
  CHECK(view.Find({ "a" })->draining);
  CHECK_FALSE(Apply(Running("a", 501, 1)));
  CHECK(view.Find({ "a" })->draining);
}

// Guards against an instance that left just before the store came back from an older copy, and
// whose removal is forgotten, since the copy still names it.
TEST(instance_registry, RemovalThatIsPendingIsNotUndoneByAnOlderCopy)
{
  registry.OnStoreRecovered(now);
  registry.ApplyList({ Running("a", 5, 1) }, { 5 }, now);
  Apply(Removal("a", 6));
  CHECK(Has("a"));
  CHECK(registry.ApplyList({ Running("a", NextEra(5), 1) }, { NextEra(5) }, now + 1_s).empty());
  CHECK(registry.RemoveExpired(now + 2_s));
  CHECK_FALSE(Has("a"));
}

// Guards against a process that starts after the store has come back from an older copy, has read
// an instance there that has left, and takes the copy's later era for later knowledge than its
// peers'.
TEST(instance_registry, PeersKnowInstancesBetterThanAListThatAStartingProcessRead)
{
  registry.OnStoreRecovered(now);
  registry.ApplyList(
    { Running("left", NextEra(5), 1), Running("drains", NextEra(5), 1) }, { NextEra(5) }, now);
  CHECK(Apply(Removal("left", 6), change_source::peer));
  CHECK_FALSE(Has("left"));
  CHECK(Apply(Running("drains", 7, 1, 0, true), change_source::peer));
  CHECK(view.Find({ "drains" })->draining);
  registry.ApplyList(
    { Running("left", NextEra(5), 1), Running("drains", NextEra(5), 1) }, { NextEra(5) }, now);
  CHECK_FALSE(Has("left"));
  CHECK(view.Find({ "drains" })->draining);
  CHECK(Apply(Running("left", NextEra(9), 1)));
  CHECK(Has("left"));
}

// Guards against a peer's former knowledge that undoes what an instance wrote after the store came
// back.
TEST(instance_registry, WriteAfterTheStoreCameBackHoldsAgainstPeers)
{
  registry.ApplyList({ Running("a", NextEra(5), 1) }, { NextEra(5) }, now);
  CHECK(Apply(Running("a", NextEra(9), 1)));
  CHECK_FALSE(Apply(Removal("a", 6), change_source::peer));
  CHECK(Has("a"));
}

// Guards against a process that starts while the store is away, hears from a peer that an instance
// has left which it never saw, and then takes it from the older copy.
TEST(instance_registry, InstanceThatLeftBeforeItWasSeenIsNotTakenFromAnOlderCopy)
{
  Apply(Removal("a", 6), change_source::peer);
  registry.OnStoreRecovered(now);
  CHECK(registry.ApplyList({ Running("a", NextEra(5), 1) }, { NextEra(5) }, now).empty());
  CHECK_FALSE(Has("a"));
  CHECK(Apply(Running("a", NextEra(9), 1)));
  CHECK(Has("a"));
}

// Guards against gateways that read no list themselves and never hear of an end that only a list
// has shown, since the store had forgotten its history.
TEST(instance_registry, EndThatOnlyAListShowsIsToldOnce)
{
  registry.ApplyList({ Entry("a"), Entry("b") }, { 1 }, now);
  CHECK(registry.TakeListedEnds().empty());
  registry.ApplyList({ Entry("b") }, { 7 }, now);
  const auto ends = registry.TakeListedEnds();
  CHECK_EQUAL(1, ends.size());
  STRCMP_EQUAL("a", ends.front().id.value.c_str());
  CHECK_EQUAL(7, ends.front().version.value);
  CHECK(!ends.front().entry);
  CHECK(registry.TakeListedEnds().empty());
  // The receiver takes it for later than all that it knows.
  CHECK_FALSE(Apply(Entry("a", 6), change_source::peer));
  CHECK(Apply(Entry("a", 8), change_source::peer));
}

TEST(instance_registry, EndThatMayBeALapseIsToldOnlyOnceItIsOne)
{
  registry.ApplyList({ Entry("a"), Entry("b") }, { 1 }, now);
  registry.OnStoreRecovered(now);
  registry.ApplyList({}, { 7 }, now);
  CHECK(registry.TakeListedEnds().empty());
  CHECK(Apply(Entry("b", 8)));
  CHECK(registry.RemoveExpired(now + 2_s));
  CHECK_EQUAL(1, registry.TakeListedEnds().size());
  CHECK(Has("b"));
}

// Guards against statements of an incarnation that the registry shows late, taken for those of the
// former one: it may have begun at any time since the store was lost.
TEST(instance_registry, IncarnationMayHaveBegunWhileTheStoreWasAway)
{
  registry.OnStoreRecovered(now);
  registry.ApplyList({ Entry("a", 5) }, { 5 }, now);
  now = now + 10_s;
  const time_point lostAt = now;
  registry.OnStoreLost(now);
  now = now + 10_s;
  registry.OnStoreRecovered(now);
  instance_change next = Entry("a", 6);
  next.entry->incarnationId = { 99 };
  Apply(next);
  CHECK(view.Find({ "a" })->mayHaveBegunAt <= lostAt);
  now = now + 10_s;
  next.version = { 7 };
  Apply(next);
  CHECK(view.Find({ "a" })->mayHaveBegunAt <= lostAt);
  next.version = { 8 };
  next.entry->incarnationId = { 100 };
  Apply(next);
  CHECK(view.Find({ "a" })->mayHaveBegunAt > now - 2_s);
}
