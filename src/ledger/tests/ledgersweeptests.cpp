#include "ledger/ledgersweep.h"

#include "platform/tests/mocks/memoryobjectstore.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace persimmon;
using namespace persimmon::ledger;

namespace {

/// Simulates the sweeps of several routers over one store; store calls complete at once.
struct sweep_simulation
{
  struct router
  {
    ledger_sweep sweep;
    duration wallClockOffset;
  };

  platform::memory_object_store::content content;
  platform::memory_object_store store{ content };
  std::vector<router> routers;
  time_point bootNow{ 1000 };
  time_point wallNow{ 1700000000000 };
  std::vector<std::int64_t> deletedSlices;
  bool failDeletions = false;

  void AddRouter(duration aWallClockOffset = {})
  {
    routers.push_back({ ledger_sweep(random_source(routers.size())), aWallClockOffset });
  }

  void ProcessEvent(router& aRouter, const sweep_event& aEvent)
  {
    const time_point routerWallNow = wallNow + aRouter.wallClockOffset;
    for (const sweep_action& action : aRouter.sweep.Handle(aEvent, bootNow, routerWallNow)) {
      if (std::holds_alternative<sweep_read>(action)) {
        const auto object = store.Get(SweepObjectKey());
        ProcessEvent(aRouter, sweep_read_done{ object, store.LastFailure().code });
      } else if (const auto* write = std::get_if<sweep_write>(&action)) {
        const auto version = store.Put(SweepObjectKey(), write->value, write->condition);
        ProcessEvent(aRouter, sweep_write_done{ version, store.LastFailure().code });
      } else if (const auto* drop = std::get_if<delete_slice>(&action)) {
        deletedSlices.push_back(drop->slice);
        ProcessEvent(aRouter, delete_slice_done{ drop->slice, !failDeletions });
      }
    }
  }

  void AdvanceTime(duration aDuration)
  {
    for (duration passed; passed < aDuration; passed = passed + 10_s) {
      bootNow = bootNow + 10_s;
      wallNow = wallNow + 10_s;
      for (router& entry : routers) {
        ProcessEvent(entry, sweep_tick{});
      }
    }
  }

  bool Accepts(std::size_t aRouter, std::int64_t aSlice)
  {
    ProcessEvent(routers[aRouter], sweep_tick{ true });
    return routers[aRouter].sweep.IsFloorFresh(bootNow) && routers[aRouter].sweep.Accepts(aSlice);
  }
};

} // namespace

// clang-format off
TEST_GROUP(ledger_sweep)
{
  sweep_simulation simulation;
  std::int64_t first = SliceAt(simulation.wallNow);
};
// clang-format on

TEST(ledger_sweep, SliceIsAcceptedForTheMaximumKeyAgeAndDeletedAfterwards)
{
  simulation.AddRouter();
  simulation.AddRouter();
  simulation.AdvanceTime(kMaxKeyAge);
  CHECK(simulation.Accepts(0, first));
  CHECK(simulation.Accepts(1, first));
  for (const std::int64_t slice : simulation.deletedSlices) {
    CHECK(slice < first);
  }
  simulation.AdvanceTime(3600_s);
  CHECK_FALSE(simulation.Accepts(0, first));
  CHECK_FALSE(simulation.Accepts(1, first));
  CHECK(std::find(simulation.deletedSlices.begin(), simulation.deletedSlices.end(), first) !=
        simulation.deletedSlices.end());
}

TEST(ledger_sweep, NoSliceIsDeletedWhileAnyRouterAcceptsItsKeys)
{
  simulation.AddRouter(0_s - 3600_s);
  simulation.AddRouter(3600_s * 3);
  simulation.AddRouter();
  for (int round = 0; round < 200; ++round) {
    simulation.AdvanceTime(30_s);
    for (const std::int64_t slice : simulation.deletedSlices) {
      for (const auto& entry : simulation.routers) {
        CHECK_FALSE(entry.sweep.IsFloorFresh(simulation.bootNow) && entry.sweep.Accepts(slice));
      }
    }
  }
  CHECK_FALSE(simulation.deletedSlices.empty());
}

TEST(ledger_sweep, IsolatedRouterStopsAcceptingASliceBeforeItIsDeleted)
{
  simulation.AddRouter();
  simulation.AddRouter();
  simulation.AdvanceTime(60_s);
  auto isolated = simulation.routers.back();
  simulation.routers.pop_back();
  std::size_t checkedDeletions = simulation.deletedSlices.size();
  for (int round = 0; round < 400; ++round) {
    simulation.AdvanceTime(10_s);
    const bool fresh = isolated.sweep.IsFloorFresh(simulation.bootNow);
    for (; checkedDeletions < simulation.deletedSlices.size(); ++checkedDeletions) {
      CHECK_FALSE(fresh && isolated.sweep.Accepts(simulation.deletedSlices[checkedDeletions]));
    }
  }
  CHECK(checkedDeletions > 0);
  CHECK_FALSE(isolated.sweep.IsFloorFresh(simulation.bootNow));
}

TEST(ledger_sweep, FailedDeletionIsRetried)
{
  simulation.AddRouter();
  simulation.failDeletions = true;
  simulation.AdvanceTime(1800_s);
  CHECK(simulation.deletedSlices.size() > 1);
  CHECK_EQUAL(simulation.deletedSlices.front(), simulation.deletedSlices.back());
  simulation.failDeletions = false;
  simulation.AdvanceTime(600_s);
  CHECK(simulation.deletedSlices.back() > simulation.deletedSlices.front());
}

TEST(ledger_sweep, DeletionsKeepUpWithTime)
{
  simulation.AddRouter();
  simulation.AddRouter();
  simulation.AddRouter();
  simulation.AdvanceTime(3600_s * 4);
  const auto record = ParseSweepRecord(simulation.store.Get(SweepObjectKey())->value);
  const std::int64_t due = SliceAt(simulation.wallNow - kMaxKeyAge - 1800_s);
  CHECK(record->firstRemainingSlice >= due);
}

TEST(ledger_sweep, NoKeyIsAcceptedWithoutAFreshFloor)
{
  simulation.AddRouter();
  simulation.store.down = true;
  CHECK_FALSE(simulation.Accepts(0, first));
  simulation.store.down = false;
  CHECK(simulation.Accepts(0, first));
  simulation.store.down = true;
  simulation.bootNow = simulation.bootNow + 290_s;
  CHECK(simulation.Accepts(0, first));
  simulation.bootNow = simulation.bootNow + 20_s;
  CHECK_FALSE(simulation.Accepts(0, first));
}

TEST(ledger_sweep, UnreadableRecordIsNotOverwritten)
{
  simulation.AddRouter();
  simulation.store.Put(SweepObjectKey(), R"({"format":9})", {});
  CHECK_FALSE(simulation.Accepts(0, first));
  simulation.AdvanceTime(600_s);
  LONGS_EQUAL(1, simulation.content.writes);
}
