#include "placement/tests/mocks/placementharness.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

constexpr std::uint64_t kSeeds = 24;
/// Checks are repeated at this interval because loads end without an event.
constexpr duration kCheckInterval{ 50 };
constexpr duration kFaultPhase{ 180'000 };
/// Longer than a lease, the wait for the previous owner's orders, a slow store and all loads
/// together.
constexpr duration kRecoveryPhase{ 240'000 };

/// Injects random faults into a small deployment and checks the invariants after each step.
class faulty_deployment
{
public:
  explicit faulty_deployment(std::uint64_t aSeed)
    : mHarness(aSeed)
    , mRandom(aSeed * 977)
  {
    // The engines of fabric-2 and fabric-3 ignore fencing tokens.
    mHarness.AddInstances("fabric-1", "gasabo", 6, true);
    mHarness.AddInstances("fabric-2", "kicukiro", 6, false);
    mHarness.AddInstances("fabric-3", "nyarugenge", 5, false);
    mHarness.weights.loadTime = 500_ms;
    const std::uint64_t placers = 2 + mRandom.Below(4);
    for (std::uint64_t index = 0; index < placers; ++index) {
      placer_options options;
      options.self.value = "p" + std::to_string(index);
      options.lease = 6_s;
      mHarness.AddPlacer(options);
    }
    mHarness.net.loseReplyProbability = 0.1;
    mHarness.net.delayWriteProbability = 0.1;
    mHarness.net.delayOrderProbability = 0.1;
    mHarness.afterStep = [this] { Check(); };
    mHarness.beforeSend = [this](const send_order& aOrder, const auto&) { CheckSend(aOrder); };
    PutRandomDocument("verifier-llm", 3, 3, 5);
    PutRandomDocument("desk-app", 2, 2, 1);
  }

  void Run()
  {
    while (mHarness.Now() < time_point{ kFaultPhase.ms }) {
      mHarness.RunFor({ static_cast<std::int64_t>(200 + mRandom.Below(5000)) });
      InjectFault();
    }
    EndFaults();
    mHarness.RunFor(kRecoveryPhase);
    CheckRecovery();
  }

  [[nodiscard]] const std::string& Violation() const { return mViolation; }

private:
  using group_version = std::pair<group_id, generation>;

  void PutRandomDocument(const std::string& aName,
                         std::int64_t aReplicas,
                         std::int64_t aSize,
                         int aPriority)
  {
    service_document document;
    document.service.value = aName;
    document.model = { aName,
                       "a" + std::to_string(mRandom.Below(2)),
                       "v" + std::to_string(mRandom.Below(3)) };
    document.capacity = { aReplicas, 1, aSize };
    document.priority = aPriority;
    mHarness.PutDocument(document);
  }

  fake_engine& RandomEngine()
  {
    auto engine = mHarness.engines.begin();
    std::advance(engine, mRandom.Below(mHarness.engines.size()));
    return engine->second;
  }

  void RestartLater(fake_engine& aEngine)
  {
    mHarness.After({ static_cast<std::int64_t>(mRandom.Below(20000)) },
                   [&aEngine] { aEngine.Restart(); });
  }

  void InjectPlacerFault()
  {
    auto& placer = *mHarness.placers[mRandom.Below(mHarness.placers.size())];
    if (!placer.alive) {
      mHarness.StartPlacer(placer);
    } else if (mRandom.Chance(0.3)) {
      mHarness.KillPlacer(placer);
    } else if (!placer.paused) {
      mHarness.Pause(placer);
      const std::uint64_t longest = mRandom.Chance(0.5) ? 1000 : 30000;
      mHarness.After({ static_cast<std::int64_t>(mRandom.Below(longest)) },
                     [this, &placer] { mHarness.Resume(placer); });
    }
  }

  void InjectEngineFault()
  {
    fake_engine& engine = RandomEngine();
    switch (mRandom.Below(4)) {
      case 0:
        mHarness.Kill(engine);
        RestartLater(engine);
        break;
      case 1:
        mHarness.PauseEngine(engine);
        mHarness.After({ static_cast<std::int64_t>(mRandom.Below(9000)) },
                       [&engine] { engine.paused = false; });
        break;
      case 2:
        engine.Restart();
        break;
      default:
        engine.leaving = !engine.leaving;
        break;
    }
  }

  void FailDomain()
  {
    const std::string domain = "fabric-" + std::to_string(1 + mRandom.Below(3));
    for (auto& [id, engine] : mHarness.engines) {
      if (engine.listed.domain.value == domain) {
        mHarness.Kill(engine);
        RestartLater(engine);
      }
    }
  }

  void InjectFault()
  {
    switch (mRandom.Below(8)) {
      case 0:
      case 1:
      case 2:
        InjectPlacerFault();
        break;
      case 3:
      case 4:
        InjectEngineFault();
        break;
      case 5:
        mHarness.storeDown = true;
        mHarness.After({ static_cast<std::int64_t>(mRandom.Below(15000)) },
                       [this] { mHarness.storeDown = false; });
        break;
      case 6:
        PutRandomDocument("verifier-llm", static_cast<std::int64_t>(1 + mRandom.Below(4)), 3, 5);
        break;
      default:
        FailDomain();
        break;
    }
  }

  void EndFaults()
  {
    mHarness.net.loseReplyProbability = 0;
    mHarness.net.delayWriteProbability = 0;
    mHarness.net.delayOrderProbability = 0;
    mHarness.RunFor(30_s);
    mHarness.storeDown = false;
    for (auto& [id, engine] : mHarness.engines) {
      if (!engine.Answers()) {
        engine.Restart();
      }
      engine.leaving = false;
    }
    for (auto& placer : mHarness.placers) {
      if (!placer->alive) {
        mHarness.StartPlacer(*placer);
      }
    }
    PutRandomDocument("verifier-llm", 3, 3, 5);
  }

  void Fail(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat + " at " + std::to_string(mHarness.Now().ms) + " ms";
    }
  }

  /// Checks that no order with a lower fencing token is sent to an engine that ignores tokens once
  /// an order with a higher token was sent in its domain.
  void CheckSend(const send_order& aOrder)
  {
    const platform::listed_instance& listed = mHarness.engines.at(aOrder.instance).listed;
    fencing_token& highest = mHighestTokens[listed.domain];
    if (!listed.checksFencingTokens && aOrder.order.token < highest) {
      Fail("an order with a stale fencing token was sent to " + aOrder.instance.value);
    }
    highest = std::max(highest, aOrder.order.token);
  }

  void Check()
  {
    const bool tablesChanged = mHarness.content.last != mCheckedRevision;
    if (tablesChanged) {
      mCheckedRevision = mHarness.content.last;
      CheckTables();
    }
    const bool enginesChanged = mHarness.deliveredOrders != mCheckedOrders;
    if (tablesChanged || enginesChanged || mHarness.Now() >= mNextCheck) {
      mCheckedOrders = mHarness.deliveredOrders;
      mNextCheck = mHarness.Now() + kCheckInterval;
      CheckEligibleGroups();
    }
  }

  void CheckTables()
  {
    std::set<instance_id> seen;
    for (const domain_table& table : mHarness.Tables()) {
      for (const group& entry : table.groups) {
        const auto known = mMembers.try_emplace({ entry.id, entry.version }, entry.members).first;
        if (known->second != entry.members) {
          Fail("two sets of members in one generation of " + entry.id.value);
        }
        if (entry.state == group_state::serving) {
          mServedGenerations.insert({ entry.id, entry.version });
        }
        for (const placement::group_member& member : entry.members) {
          if (!seen.insert(member.instance).second) {
            Fail(member.instance.value + " is in two groups");
          }
        }
      }
    }
  }

  /// Checks that every group that a router may consider eligible, by any version of the table, is
  /// complete.
  void CheckEligibleGroups()
  {
    for (const auto& entry : mHarness.engines) {
      const fake_engine& engine = entry.second;
      const bool isHead = engine.holdsGroup && engine.order.rank == 0 && engine.Answers();
      const group_version version{ engine.order.group, engine.order.version };
      if (!isHead || engine.State(mHarness.Now()) != engine_state::ready ||
          !mServedGenerations.contains(version)) {
        continue;
      }
      const member_state head = StateOf(engine, mHarness.engines, mHarness.Now());
      const bool eligible = std::all_of(
        head.members.begin(), head.members.end(), [&](const member_observation& aObserved) {
          return aObserved.version == engine.order.version &&
                 aObserved.state == engine_state::ready && aObserved.sinceLastMessage == 0_ms;
        });
      if (eligible && mMembers.at(version) != engine.order.members) {
        Fail(version.first.value + " serves with members that differ from its table");
      }
      if (eligible) {
        CheckMembers(engine);
      }
    }
  }

  void CheckMembers(const fake_engine& aHead)
  {
    for (std::size_t rank = 0; rank < aHead.order.members.size(); ++rank) {
      const placement::group_member& member = aHead.order.members[rank];
      const fake_engine& engine = mHarness.engines.at(member.instance);
      const bool placed = engine.order.group == aHead.order.group && engine.order.rank == rank &&
                          engine.order.members == aHead.order.members &&
                          engine.listed.incarnation == member.incarnationId && engine.Answers();
      if (!placed) {
        Fail(aHead.order.group.value + " serves although a member is not in place");
      }
    }
  }

  void CheckRecovery()
  {
    if (mHarness.CountEligible("verifier-llm") != 3 || mHarness.CountEligible("desk-app") != 2) {
      Fail("eligible groups after recovery, expected 3 and 2: " +
           std::to_string(mHarness.CountEligible("verifier-llm")) + " and " +
           std::to_string(mHarness.CountEligible("desk-app")));
    }
    std::set<group_id> known;
    for (const domain_table& table : mHarness.Tables()) {
      for (const group& entry : table.groups) {
        known.insert(entry.id);
      }
    }
    for (const auto& [id, engine] : mHarness.engines) {
      if (engine.holdsGroup && !known.contains(engine.order.group)) {
        Fail(id.value + " was not released from removed group " + engine.order.group.value);
      }
    }
  }

  placement_harness mHarness;
  random_source mRandom;
  std::string mViolation;
  revision mCheckedRevision;
  std::uint64_t mCheckedOrders = 0;
  time_point mNextCheck;
  std::map<group_version, std::vector<placement::group_member>> mMembers;
  std::set<group_version> mServedGenerations;
  std::map<domain_id, fencing_token> mHighestTokens;
};

} // namespace

// clang-format off
TEST_GROUP(placement_property){};
// clang-format on

TEST(placement_property, OnlyCompleteGroupsServeAndInstancesAreInOneGroupUnderRandomFaults)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    faulty_deployment deployment(seed);
    deployment.Run();
    if (!deployment.Violation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + deployment.Violation()).c_str());
    }
  }
}
