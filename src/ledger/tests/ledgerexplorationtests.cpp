#include "ledger/tests/mocks/ledgerworld.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace persimmon;
using namespace persimmon::ledger;

namespace {

constexpr std::uint64_t kSeeds = 6000;
constexpr int kSteps = 200;

/// Plays one random interleaving of routers, callers, faults and time, then checks the promises.
class exploration
{
public:
  explicit exploration(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRouters(2 + aSeed % 2)
    , mKeys(1 + aSeed / 2 % 2)
    , mWorld(mRouters, aSeed, aSeed / 4 % 2 == 0 ? commit_policy{} : kGroupCommitPolicy)
  {
  }

  std::string Play()
  {
    for (int step = 0; step < kSteps; ++step) {
      Step();
    }
    mWorld.down = false;
    LandAll();
    mWorld.Settle();
    return Violation();
  }

  int dispatched = 0;
  int killed = 0;
  int lost = 0;

private:
  void Step()
  {
    const std::size_t router = mRandom.Below(mRouters);
    switch (mRandom.Below(16)) {
      case 0:
      case 1:
        mWorld.Begin(router, Key(), mRandom.Chance(0.1) ? "other" : "d", Patience());
        return;
      case 2:
      case 3:
      case 4:
      case 5:
        return Effect(router);
      case 6:
      case 7:
      case 8:
        return Reply(router);
      case 9:
        return mRandom.Chance(0.4) ? Lose(router) : mWorld.Flush(router);
      case 10:
        return mWorld.Land();
      case 11:
        mWorld.Advance(duration{ static_cast<std::int64_t>(mRandom.Below(150)) });
        return;
      case 12:
        return mRandom.Chance(0.05) ? Kill(router) : Upstream();
      case 13:
        mWorld.down = mRandom.Chance(0.2);
        return;
      default:
        return Upstream();
    }
  }

  std::string Key() { return std::string(1, static_cast<char>('a' + mRandom.Below(mKeys))); }
  duration Patience() { return { static_cast<std::int64_t>(20 + mRandom.Below(2000)) }; }

  void Effect(std::size_t aRouter)
  {
    if (mWorld.HasCall(aRouter) && !mWorld.HasEffect(aRouter)) {
      mWorld.TakeEffect(aRouter);
    }
  }

  void Reply(std::size_t aRouter)
  {
    if (mWorld.HasEffect(aRouter)) {
      mWorld.Reply(aRouter);
    }
  }

  void Lose(std::size_t aRouter)
  {
    if (mWorld.HasCall(aRouter)) {
      ++lost;
      mWorld.LoseReply(aRouter);
    }
  }

  void Kill(std::size_t aRouter)
  {
    ++killed;
    mWorld.Kill(aRouter);
  }

  void LandAll()
  {
    for (int i = 0; i < kSteps; ++i) {
      mWorld.Land();
    }
  }

  /// A granted attempt is dispatched or closed; now and then any other tries to close a record that
  /// is not its own.
  void Upstream()
  {
    const bool foreign = mRandom.Chance(0.1);
    std::vector<attempt_ref> open;
    for (const auto& [attempt, asked] : mWorld.attempts) {
      const bool fits = (mWorld.Verdict(attempt) == begin_verdict::granted) != foreign;
      if (fits && asked.result && !asked.closed && mWorld.Lives(attempt)) {
        open.push_back(attempt);
      }
    }
    if (open.empty()) {
      return;
    }
    const attempt_ref attempt = open[mRandom.Below(open.size())];
    if (mWorld.attempts[attempt].dispatched) {
      mWorld.Close(attempt,
                   mRandom.Chance(0.7) ? record_state::done : record_state::outcome_unknown);
    } else if (!foreign && mRandom.Chance(0.5)) {
      ++dispatched;
      mWorld.Dispatch(attempt);
    } else {
      mWorld.Close(attempt, record_state::not_run);
    }
  }

  std::string Violation()
  {
    for (const auto& [record, count] : mWorld.runs) {
      if (count > 1) {
        return fmt::format("key {} ran {} times", record.value, count);
      }
    }
    if (mWorld.falseNotRun > 0 || mWorld.falseDone > 0) {
      return "a caller was told a falsehood";
    }
    if (mWorld.secondAnswers > 0) {
      return "an attempt was answered twice";
    }
    for (const auto& [attempt, asked] : mWorld.attempts) {
      if (!asked.result && mWorld.Lives(attempt)) {
        return fmt::format("attempt {} was never answered", attempt.number);
      }
    }
    return OpenForNoReason();
  }

  /// A living router must not leave a key open that it neither granted nor still holds.
  std::string OpenForNoReason()
  {
    for (const auto& [id, record] : mWorld.Table().records) {
      const bool open = record.state == record_state::intent && mWorld.Lives(record.attempt);
      const auto& asked = mWorld.attempts[record.attempt];
      const bool held = mWorld.Verdict(record.attempt) == begin_verdict::granted && !asked.closed;
      if (open && !held) {
        return fmt::format("key {} stays open", id.value);
      }
    }
    return "";
  }

  random_source mRandom;
  std::size_t mRouters;
  std::size_t mKeys;
  ledger_world mWorld;
};

} // namespace

// clang-format off
TEST_GROUP(ledger_exploration){};
// clang-format on

TEST(ledger_exploration, AtMostOneRunPerKeyAndNoFalseAnswerInAnyInterleaving)
{
  int dispatched = 0;
  int killed = 0;
  int lost = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    exploration play(seed);
    const std::string violation = play.Play();
    if (!violation.empty()) {
      FAIL(fmt::format("seed {}: {}", seed, violation).c_str());
    }
    dispatched += play.dispatched;
    killed += play.killed;
    lost += play.lost;
  }
  // Guards against an exploration that no longer reaches what it is meant for.
  CHECK(dispatched > static_cast<int>(kSeeds / 2));
  CHECK(killed > static_cast<int>(kSeeds / 2));
  CHECK(lost > static_cast<int>(kSeeds / 2));
}
