#include "placement/ownership.h"
#include "placement/tests/mocks/placementharness.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

constexpr duration kLease{ 6000 };
constexpr duration kEnd{ 240'000 };
/// No later step differs from an earlier one.
constexpr int kSteps = 48;
/// Shorter than the lease with its margin, about as long, and longer than lease and settle time.
constexpr std::array kPauses = { 2000_ms, 5000_ms, 40'000_ms };

/// What happens to the holder at the chosen step.
enum class trouble
{
  /// It is paused.
  pause,
  /// It no longer learns of other placers.
  blind
};

/// One placer forms, repairs and changes a group of engines that ignore fencing tokens. At one of
/// its steps trouble comes to it and a second placer starts.
class disturbed_holder
{
public:
  disturbed_holder(trouble aTrouble, int aStep, duration aPause, bool aSecondWins)
    : mTrouble(aTrouble)
    , mStep(aStep)
    , mPause(aPause)
    , mSecond(NameThatOwns(aSecondWins))
  {
    // The watch comes too late to tell the holder what the other has done.
    mHarness.net.watchPoll = 60_s;
    mHarness.weights.loadTime = 300_ms;
    mHarness.AddInstances("fabric-1", "gasabo", 5, false);
    mHarness.onSend = [this](const send_order& aOrder, const auto&) { CheckSend(aOrder); };
    mHarness.beforeAction = [this](const placement_action& aAction, auto& aPlacer) {
      Count(aAction, aPlacer);
    };
    service_document document;
    document.service.value = "verifier-llm";
    document.model = { "verifier", "", "v1" };
    document.capacity = { 1, 0, 4 };
    mHarness.PutDocument(document);
    mHarness.AddPlacer(Options("a"));
    mHarness.After(25_s, [this] { mHarness.engines.at({ "fabric-1-001" }).Restart(); });
  }

  void Run()
  {
    mHarness.RunFor(kEnd);
    if (mHarness.CountEligible("verifier-llm") != 1) {
      Fail("the group does not serve in the end");
    }
  }

  [[nodiscard]] const std::string& Violation() const { return mViolation; }

private:
  static placer_options Options(const std::string& aName)
  {
    placer_options options;
    options.self.value = aName;
    options.lease = kLease;
    return options;
  }

  /// Finds a name that wins the domain against the first placer, or loses it.
  static std::string NameThatOwns(bool aWins)
  {
    for (int number = 0;; ++number) {
      const placer_id second{ "b" + std::to_string(number) + "-1" };
      const bool wins = RendezvousOwner("fabric-1", { { "a-1" }, second }) == second;
      if (wins == aWins) {
        return "b" + std::to_string(number);
      }
    }
  }

  void Count(const placement_action& aAction, placement_harness::one_placer& aPlacer)
  {
    const bool counts = std::holds_alternative<send_order>(aAction) ||
                        std::holds_alternative<write_object>(aAction) ||
                        std::holds_alternative<read_object>(aAction);
    if (aPlacer.options.self.value != "a" || !counts || mCounted++ != mStep) {
      return;
    }
    if (mTrouble == trouble::blind) {
      aPlacer.listsFail = true;
      mHarness.After(60_s, [&aPlacer] { aPlacer.listsFail = false; });
    } else {
      mHarness.Pause(aPlacer);
      mHarness.After(mPause, [this, &aPlacer] { mHarness.Wake(aPlacer); });
    }
    mHarness.After({}, [this] { mHarness.AddPlacer(Options(mSecond)); });
  }

  void CheckSend(const send_order& aOrder)
  {
    if (aOrder.order.token < mHighest) {
      Fail("an order of an earlier owner was sent after one of a later owner");
    }
    mHighest = std::max(mHighest, aOrder.order.token);
  }

  void Fail(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat + " (step " + std::to_string(mStep) + ", pause " +
                   std::to_string(mPause.ms) + " ms, at " + std::to_string(mHarness.Now().ms) +
                   " ms)";
    }
  }

  trouble mTrouble;
  int mStep;
  duration mPause;
  std::string mSecond;
  placement_harness mHarness{ 1 };
  int mCounted = 0;
  fencing_token mHighest;
  std::string mViolation;
};

void
CheckAllSteps(trouble aTrouble, duration aPause, bool aSecondWins)
{
  for (int step = 0; step < kSteps; ++step) {
    disturbed_holder run(aTrouble, step, aPause, aSecondWins);
    run.Run();
    if (!run.Violation().empty()) {
      FAIL(run.Violation().c_str());
    }
  }
}

} // namespace

// clang-format off
TEST_GROUP(fencing){};
// clang-format on

TEST(fencing, AHolderPausedAtAnyStepDoesNoHarmWhenItLosesTheDomain)
{
  for (const duration pause : kPauses) {
    CheckAllSteps(trouble::pause, pause, true);
  }
}

TEST(fencing, AHolderPausedAtAnyStepDoesNoHarmWhenItGetsTheDomainBack)
{
  for (const duration pause : kPauses) {
    CheckAllSteps(trouble::pause, pause, false);
  }
}

TEST(fencing, AHolderThatCannotSeeOthersStopsOrdering)
{
  CheckAllSteps(trouble::blind, 0_ms, true);
}
