#include "ledger/ledgersweep.h"

#include "platform/tests/mocks/memoryobjectstore.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace persimmon;
using namespace persimmon::ledger;

namespace {

/// Several routers' sweeps over one store; each round is carried out at once.
struct sweep_world
{
  struct router
  {
    ledger_sweep sweep;
    duration wallError;
  };

  platform::memory_object_store::content content;
  platform::memory_object_store store{ content };
  std::vector<router> routers;
  time_point boot{ 1000 };
  time_point wall{ 1700000000000 };
  std::vector<std::int64_t> dropped;
  bool dropsFail = false;

  void Add(duration aWallError = {})
  {
    routers.push_back({ ledger_sweep(random_source(routers.size())), aWallError });
  }

  void Feed(router& aRouter, const sweep_event& aEvent)
  {
    const time_point seen = wall + aRouter.wallError;
    for (const sweep_action& action : aRouter.sweep.Handle(aEvent, boot, seen)) {
      if (std::holds_alternative<sweep_read>(action)) {
        const auto object = store.Get(SweepObjectKey());
        Feed(aRouter, sweep_read_done{ object, store.LastFailure().code });
      } else if (const auto* write = std::get_if<sweep_write>(&action)) {
        const auto version = store.Put(SweepObjectKey(), write->value, write->condition);
        Feed(aRouter, sweep_write_done{ version, store.LastFailure().code });
      } else if (const auto* drop = std::get_if<delete_slice>(&action)) {
        dropped.push_back(drop->slice);
        Feed(aRouter, delete_slice_done{ drop->slice, !dropsFail });
      }
    }
  }

  void Pass(duration aSpan)
  {
    for (duration passed; passed < aSpan; passed = passed + 10_s) {
      boot = boot + 10_s;
      wall = wall + 10_s;
      for (router& each : routers) {
        Feed(each, sweep_tick{});
      }
    }
  }

  bool Accepts(std::size_t aRouter, std::int64_t aSlice)
  {
    Feed(routers[aRouter], sweep_tick{ true });
    return routers[aRouter].sweep.IsFloorFresh(boot) && routers[aRouter].sweep.Accepts(aSlice);
  }
};

} // namespace

// clang-format off
TEST_GROUP(ledger_sweep)
{
  sweep_world world;
  std::int64_t first = SliceAt(world.wall);
};
// clang-format on

TEST(ledger_sweep, SliceIsAcceptedUntilTheHorizonAndDroppedAfterIt)
{
  world.Add();
  world.Add();
  world.Pass(kMaxKeyAge);
  CHECK(world.Accepts(0, first));
  CHECK(world.Accepts(1, first));
  for (const std::int64_t slice : world.dropped) {
    CHECK(slice < first);
  }
  world.Pass(3600_s);
  CHECK_FALSE(world.Accepts(0, first));
  CHECK_FALSE(world.Accepts(1, first));
  CHECK(std::find(world.dropped.begin(), world.dropped.end(), first) != world.dropped.end());
}

TEST(ledger_sweep, NoSliceIsDroppedWhileAnyRouterAcceptsItsKeys)
{
  world.Add(0_s - 3600_s);
  world.Add(3600_s * 3);
  world.Add();
  for (int round = 0; round < 200; ++round) {
    world.Pass(30_s);
    for (const std::int64_t slice : world.dropped) {
      for (const auto& each : world.routers) {
        CHECK_FALSE(each.sweep.IsFloorFresh(world.boot) && each.sweep.Accepts(slice));
      }
    }
  }
  CHECK_FALSE(world.dropped.empty());
}

TEST(ledger_sweep, RouterThatCannotReadTheFloorAcceptsNothingBeforeAnyDrop)
{
  world.Add();
  world.Add();
  world.Pass(60_s);
  auto cutOff = world.routers.back();
  world.routers.pop_back();
  std::size_t drops = world.dropped.size();
  for (int round = 0; round < 400; ++round) {
    world.Pass(10_s);
    const bool fresh = cutOff.sweep.IsFloorFresh(world.boot);
    for (; drops < world.dropped.size(); ++drops) {
      CHECK_FALSE(fresh && cutOff.sweep.Accepts(world.dropped[drops]));
    }
  }
  CHECK(drops > 0);
  CHECK_FALSE(cutOff.sweep.IsFloorFresh(world.boot));
}

TEST(ledger_sweep, FailedDropIsTriedAgain)
{
  world.Add();
  world.dropsFail = true;
  world.Pass(1800_s);
  CHECK(world.dropped.size() > 1);
  CHECK_EQUAL(world.dropped.front(), world.dropped.back());
  world.dropsFail = false;
  world.Pass(600_s);
  CHECK(world.dropped.back() > world.dropped.front());
}

TEST(ledger_sweep, DropsKeepPaceWithTime)
{
  world.Add();
  world.Add();
  world.Add();
  world.Pass(3600_s * 4);
  const auto record = ParseSweepRecord(world.store.Get(SweepObjectKey())->value);
  const std::int64_t due = SliceAt(world.wall - kMaxKeyAge - 1800_s);
  CHECK(record->firstRemainingSlice >= due);
}

TEST(ledger_sweep, WithoutTheStoreNothingIsAccepted)
{
  world.Add();
  world.store.down = true;
  CHECK_FALSE(world.Accepts(0, first));
  world.store.down = false;
  CHECK(world.Accepts(0, first));
  world.store.down = true;
  world.boot = world.boot + 290_s;
  CHECK(world.Accepts(0, first));
  world.boot = world.boot + 20_s;
  CHECK_FALSE(world.Accepts(0, first));
}

TEST(ledger_sweep, UnreadableRecordIsLeftAlone)
{
  world.Add();
  world.store.Put(SweepObjectKey(), R"({"format":9})", {});
  CHECK_FALSE(world.Accepts(0, first));
  world.Pass(600_s);
  LONGS_EQUAL(1, world.content.writes);
}
