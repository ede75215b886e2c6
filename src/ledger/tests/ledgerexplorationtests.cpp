#include "ledger/tests/mocks/shardsimulation.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace persimmon;
using namespace persimmon::ledger;

namespace {

constexpr std::uint64_t kSeeds = 6000;
constexpr int kSteps = 200;

/// Runs one random interleaving of routers, callers, faults and time, then checks the ledger's
/// guarantees.
class random_interleaving
{
public:
  explicit random_interleaving(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRouters(2 + aSeed % 2)
    , mKeys(1 + aSeed / 2 % 2)
    , mSimulation(mRouters, aSeed, aSeed / 4 % 2 == 0 ? commit_policy{} : kGroupCommitPolicy)
  {
  }

  std::string Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      TakeRandomStep();
    }
    mSimulation.storeDown = false;
    ApplyDelayedWrites();
    mSimulation.RunUntilSettled();
    return FindViolation();
  }

  int dispatches = 0;
  int restarts = 0;
  int lostReplies = 0;

private:
  void TakeRandomStep()
  {
    const std::size_t router = mRandom.Below(mRouters);
    switch (mRandom.Below(16)) {
      case 0:
      case 1:
        mSimulation.Begin(
          router, RandomKey(), mRandom.Chance(0.1) ? "other" : "d", RandomTimeout());
        return;
      case 2:
      case 3:
      case 4:
      case 5:
        return ApplyCall(router);
      case 6:
      case 7:
      case 8:
        return DeliverReply(router);
      case 9:
        return mRandom.Chance(0.4) ? LoseReply(router) : mSimulation.Flush(router);
      case 10:
        return mSimulation.ApplyDelayedWrite();
      case 11:
        mSimulation.AdvanceTime(duration{ static_cast<std::int64_t>(mRandom.Below(150)) });
        return;
      case 12:
        return mRandom.Chance(0.05) ? RestartRouter(router) : ActAsCaller();
      case 13:
        mSimulation.storeDown = mRandom.Chance(0.2);
        return;
      default:
        return ActAsCaller();
    }
  }

  std::string RandomKey() { return std::string(1, static_cast<char>('a' + mRandom.Below(mKeys))); }
  duration RandomTimeout() { return { static_cast<std::int64_t>(20 + mRandom.Below(2000)) }; }

  void ApplyCall(std::size_t aRouter)
  {
    if (mSimulation.HasCall(aRouter) && !mSimulation.IsCallApplied(aRouter)) {
      mSimulation.ApplyCall(aRouter);
    }
  }

  void DeliverReply(std::size_t aRouter)
  {
    if (mSimulation.IsCallApplied(aRouter)) {
      mSimulation.DeliverReply(aRouter);
    }
  }

  void LoseReply(std::size_t aRouter)
  {
    if (mSimulation.HasCall(aRouter)) {
      ++lostReplies;
      mSimulation.LoseReply(aRouter);
    }
  }

  void RestartRouter(std::size_t aRouter)
  {
    ++restarts;
    mSimulation.RestartRouter(aRouter);
  }

  void ApplyDelayedWrites()
  {
    for (int i = 0; i < kSteps; ++i) {
      mSimulation.ApplyDelayedWrite();
    }
  }

  /// Dispatches or closes a granted attempt. Sometimes another attempt tries to close a record that
  /// is not its own.
  void ActAsCaller()
  {
    const bool closeForeign = mRandom.Chance(0.1);
    std::vector<attempt_ref> open;
    for (const auto& [attempt, state] : mSimulation.attempts) {
      const bool eligible =
        (mSimulation.Verdict(attempt) == begin_verdict::granted) != closeForeign;
      if (eligible && state.result && !state.closed && mSimulation.IsWriterAlive(attempt)) {
        open.push_back(attempt);
      }
    }
    if (open.empty()) {
      return;
    }
    const attempt_ref attempt = open[mRandom.Below(open.size())];
    if (mSimulation.attempts[attempt].dispatched) {
      mSimulation.Close(attempt,
                        mRandom.Chance(0.7) ? record_state::done : record_state::outcome_unknown);
    } else if (!closeForeign && mRandom.Chance(0.5)) {
      ++dispatches;
      mSimulation.Dispatch(attempt);
    } else {
      mSimulation.Close(attempt, record_state::not_run);
    }
  }

  std::string FindViolation()
  {
    for (const auto& [record, count] : mSimulation.executions) {
      if (count > 1) {
        return fmt::format("key {} was executed {} times", record.value, count);
      }
    }
    if (mSimulation.falseNotExecuted > 0 || mSimulation.falseExecuted > 0) {
      return "a caller got a false execution status";
    }
    if (mSimulation.duplicateVerdicts > 0) {
      return "an attempt got two verdicts";
    }
    for (const auto& [attempt, state] : mSimulation.attempts) {
      if (!state.result && mSimulation.IsWriterAlive(attempt)) {
        return fmt::format("attempt {} never got a verdict", attempt.number);
      }
    }
    return FindAbandonedOpenKey();
  }

  /// Finds a key whose record a running router left open although the attempt was not granted or is
  /// already closed.
  std::string FindAbandonedOpenKey()
  {
    for (const auto& [id, record] : mSimulation.Table().records) {
      const bool open =
        record.state == record_state::intent && mSimulation.IsWriterAlive(record.attempt);
      const auto& state = mSimulation.attempts[record.attempt];
      const bool expectedOpen =
        mSimulation.Verdict(record.attempt) == begin_verdict::granted && !state.closed;
      if (open && !expectedOpen) {
        return fmt::format("key {} remains open", id.value);
      }
    }
    return "";
  }

  random_source mRandom;
  std::size_t mRouters;
  std::size_t mKeys;
  shard_simulation mSimulation;
};

} // namespace

// clang-format off
TEST_GROUP(ledger_exploration){};
// clang-format on

TEST(ledger_exploration, EachKeyIsExecutedAtMostOnceAndReportedTruthfully)
{
  int dispatches = 0;
  int restarts = 0;
  int lostReplies = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    random_interleaving interleaving(seed);
    const std::string violation = interleaving.Run();
    if (!violation.empty()) {
      FAIL(fmt::format("seed {}: {}", seed, violation).c_str());
    }
    dispatches += interleaving.dispatches;
    restarts += interleaving.restarts;
    lostReplies += interleaving.lostReplies;
  }
  // The interleavings must still reach the cases that this test is meant to cover.
  CHECK(dispatches > static_cast<int>(kSeeds / 2));
  CHECK(restarts > static_cast<int>(kSeeds / 2));
  CHECK(lostReplies > static_cast<int>(kSeeds / 2));
}
