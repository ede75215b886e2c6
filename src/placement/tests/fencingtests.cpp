#include "placement/ownership.h"
#include "placement/tests/mocks/placementharness.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

constexpr duration kLease{ 6000 };
constexpr duration kRunLength{ 240'000 };
/// Number of steps at which the fault is injected; later steps repeat earlier ones.
constexpr int kFaultSteps = 48;
/// Shorter than the lease less its safety margin, about as long as it, and longer than the lease
/// plus the longest delivery of an order.
constexpr std::array kPauseLengths = { 2000_ms, 5000_ms, 40'000_ms };

/// Fault of the domain owner at the chosen step.
enum class fault
{
  /// The process is paused.
  pause,
  /// Its lists of leases fail, so that it cannot detect other placers.
  list_failure
};

/// One placer forms and repairs a group of engines that ignore fencing tokens. At a chosen step a
/// fault is injected into it and a second placer starts.
class faulted_owner
{
public:
  faulted_owner(fault aFault, int aFaultStep, duration aPauseLength, bool aSecondOwnsDomain)
    : mFault(aFault)
    , mFaultStep(aFaultStep)
    , mPauseLength(aPauseLength)
    , mSecondName(SecondPlacerName(aSecondOwnsDomain))
  {
    // A watch this slow does not report the second placer's writes to the first in time.
    mHarness.net.watchPoll = 60_s;
    mHarness.weights.loadTime = 300_ms;
    mHarness.AddInstances("fabric-1", "gasabo", 5, false);
    mHarness.beforeSend = [this](const send_order& aOrder, const auto&) { CheckSend(aOrder); };
    mHarness.beforeExecute = [this](const placement_action& aAction, auto& aPlacer) {
      InjectFaultAtStep(aAction, aPlacer);
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
    mHarness.RunFor(kRunLength);
    if (mHarness.CountEligible("verifier-llm") != 1) {
      Fail("the group does not serve at the end of the run");
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

  /// Returns a placer name that wins, or loses, the domain against the first placer by rendezvous
  /// hashing.
  static std::string SecondPlacerName(bool aWins)
  {
    for (int number = 0;; ++number) {
      const placer_id second{ "b" + std::to_string(number) + "-1" };
      const bool wins = RendezvousOwner("fabric-1", { { "a-1" }, second }) == second;
      if (wins == aWins) {
        return "b" + std::to_string(number);
      }
    }
  }

  void InjectFaultAtStep(const placement_action& aAction,
                         placement_harness::simulated_placer& aPlacer)
  {
    const bool counts = std::holds_alternative<send_order>(aAction) ||
                        std::holds_alternative<write_object>(aAction) ||
                        std::holds_alternative<read_object>(aAction);
    if (aPlacer.options.self.value != "a" || !counts || mActionCount++ != mFaultStep) {
      return;
    }
    if (mFault == fault::list_failure) {
      aPlacer.listCallsFail = true;
      mHarness.After(60_s, [&aPlacer] { aPlacer.listCallsFail = false; });
    } else {
      mHarness.Pause(aPlacer);
      mHarness.After(mPauseLength, [this, &aPlacer] { mHarness.Resume(aPlacer); });
    }
    mHarness.After({}, [this] { mHarness.AddPlacer(Options(mSecondName)); });
  }

  void CheckSend(const send_order& aOrder)
  {
    if (aOrder.order.token < mHighestToken) {
      Fail("an order with a lower fencing token was sent after one with a higher token");
    }
    mHighestToken = std::max(mHighestToken, aOrder.order.token);
  }

  void Fail(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat + " (step " + std::to_string(mFaultStep) + ", pause " +
                   std::to_string(mPauseLength.ms) + " ms, at " +
                   std::to_string(mHarness.Now().ms) + " ms)";
    }
  }

  fault mFault;
  int mFaultStep;
  duration mPauseLength;
  std::string mSecondName;
  placement_harness mHarness{ 1 };
  int mActionCount = 0;
  fencing_token mHighestToken;
  std::string mViolation;
};

void
CheckAllSteps(fault aFault, duration aPauseLength, bool aSecondOwnsDomain)
{
  for (int step = 0; step < kFaultSteps; ++step) {
    faulted_owner run(aFault, step, aPauseLength, aSecondOwnsDomain);
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

TEST(fencing, AnOwnerPausedAtAnyStepSendsNoStaleOrdersWhenItLosesTheDomain)
{
  for (const duration pause : kPauseLengths) {
    CheckAllSteps(fault::pause, pause, true);
  }
}

TEST(fencing, AnOwnerPausedAtAnyStepSendsNoStaleOrdersWhenItRegainsTheDomain)
{
  for (const duration pause : kPauseLengths) {
    CheckAllSteps(fault::pause, pause, false);
  }
}

TEST(fencing, AnOwnerThatCannotListLeasesSendsNoStaleOrders)
{
  CheckAllSteps(fault::list_failure, 0_ms, true);
}
