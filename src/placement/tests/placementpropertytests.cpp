#include "placement/tests/mocks/placementharness.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace persimmon;
using namespace persimmon::placement;

namespace {

constexpr std::uint64_t kSeeds = 24;
/// Loads end without an event.
constexpr duration kCheckInterval{ 50 };
constexpr duration kTroubled{ 180'000 };
/// Longer than a lease, a settle time, a slow store and all loads together.
constexpr duration kQuiet{ 240'000 };

/// Random failures over a small deployment, with what must hold checked after each change.
class troubled_deployment
{
public:
  explicit troubled_deployment(std::uint64_t aSeed)
    : mHarness(aSeed)
    , mRandom(aSeed * 977)
  {
    // Half of the fabric domains run engines that ignore fencing tokens.
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
    mHarness.net.loseReply = 0.1;
    mHarness.net.delayWrite = 0.1;
    mHarness.net.delayOrder = 0.1;
    mHarness.onStep = [this] { Check(); };
    mHarness.onSend = [this](const send_order& aOrder, const auto&) { CheckSend(aOrder); };
    Edit("verifier-llm", 3, 3, 5);
    Edit("desk-app", 2, 2, 1);
  }

  void Run()
  {
    while (mHarness.Now() < time_point{ kTroubled.ms }) {
      mHarness.RunFor({ static_cast<std::int64_t>(200 + mRandom.Below(5000)) });
      Trouble();
    }
    Calm();
    mHarness.RunFor(kQuiet);
    CheckSettled();
  }

  [[nodiscard]] const std::string& Violation() const { return mViolation; }

private:
  using group_version = std::pair<group_id, generation>;

  void Edit(const std::string& aName, std::int64_t aReplicas, std::int64_t aSize, int aPriority)
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

  fake_engine& AnyEngine()
  {
    auto engine = mHarness.engines.begin();
    std::advance(engine, mRandom.Below(mHarness.engines.size()));
    return engine->second;
  }

  void Restart(fake_engine& aEngine)
  {
    mHarness.After({ static_cast<std::int64_t>(mRandom.Below(20000)) },
                   [&aEngine] { aEngine.Restart(); });
  }

  void TroublePlacer()
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
                     [this, &placer] { mHarness.Wake(placer); });
    }
  }

  void TroubleEngine()
  {
    fake_engine& engine = AnyEngine();
    switch (mRandom.Below(4)) {
      case 0:
        mHarness.Kill(engine);
        Restart(engine);
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

  void Darken()
  {
    const std::string domain = "fabric-" + std::to_string(1 + mRandom.Below(3));
    for (auto& [id, engine] : mHarness.engines) {
      if (engine.listed.domain.value == domain) {
        mHarness.Kill(engine);
        Restart(engine);
      }
    }
  }

  void Trouble()
  {
    switch (mRandom.Below(8)) {
      case 0:
      case 1:
      case 2:
        TroublePlacer();
        break;
      case 3:
      case 4:
        TroubleEngine();
        break;
      case 5:
        mHarness.storeDown = true;
        mHarness.After({ static_cast<std::int64_t>(mRandom.Below(15000)) },
                       [this] { mHarness.storeDown = false; });
        break;
      case 6:
        Edit("verifier-llm", static_cast<std::int64_t>(1 + mRandom.Below(4)), 3, 5);
        break;
      default:
        Darken();
        break;
    }
  }

  void Calm()
  {
    mHarness.net.loseReply = 0;
    mHarness.net.delayWrite = 0;
    mHarness.net.delayOrder = 0;
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
    Edit("verifier-llm", 3, 3, 5);
  }

  void Fail(const std::string& aWhat)
  {
    if (mViolation.empty()) {
      mViolation = aWhat + " at " + std::to_string(mHarness.Now().ms) + " ms";
    }
  }

  /// A later owner has ordered: no earlier one may still send to engines that ignore tokens.
  void CheckSend(const send_order& aOrder)
  {
    const platform::listed_instance& listed = mHarness.engines.at(aOrder.instance).listed;
    fencing_token& highest = mSent[listed.domain];
    if (!listed.checksFencingTokens && aOrder.order.token < highest) {
      Fail("an order of an earlier owner went to " + aOrder.instance.value);
    }
    highest = std::max(highest, aOrder.order.token);
  }

  void Check()
  {
    const bool tablesChanged = mHarness.content.last != mSeen;
    if (tablesChanged) {
      mSeen = mHarness.content.last;
      CheckTables();
    }
    const bool enginesChanged = mHarness.engineChanges != mEngineChanges;
    if (tablesChanged || enginesChanged || mHarness.Now() >= mNextCheck) {
      mEngineChanges = mHarness.engineChanges;
      mNextCheck = mHarness.Now() + kCheckInterval;
      CheckHeads();
    }
  }

  void CheckTables()
  {
    std::set<instance_id> seen;
    for (const domain_table& table : mHarness.Tables()) {
      for (const group& entry : table.groups) {
        const auto known = mMembers.try_emplace({ entry.id, entry.version }, entry.members).first;
        if (known->second != entry.members) {
          Fail("one generation of " + entry.id.value + " has two sets of members");
        }
        if (entry.state == group_state::serving) {
          mServed.insert({ entry.id, entry.version });
        }
        for (const placement::group_member& member : entry.members) {
          if (!seen.insert(member.instance).second) {
            Fail(member.instance.value + " stands in two groups");
          }
        }
      }
    }
  }

  /// Whatever a router may hold eligible, by any version of the table, must be whole.
  void CheckHeads()
  {
    for (const auto& entry : mHarness.engines) {
      const fake_engine& engine = entry.second;
      const bool isHead = engine.holdsGroup && engine.order.rank == 0 && engine.Answers();
      const group_version version{ engine.order.group, engine.order.version };
      if (!isHead || engine.State(mHarness.Now()) != engine_state::ready ||
          !mServed.contains(version)) {
        continue;
      }
      const member_state head = StateOf(engine, mHarness.engines, mHarness.Now());
      const bool eligible =
        std::all_of(head.members.begin(), head.members.end(), [&](const heard_member& aHeard) {
          return aHeard.version == engine.order.version && aHeard.state == engine_state::ready &&
                 aHeard.heard == 0_ms;
        });
      if (eligible && mMembers.at(version) != engine.order.members) {
        Fail(version.first.value + " serves with other members than its table has");
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
                          engine.listed.incarnation == member.life && engine.Answers();
      if (!placed) {
        Fail(aHead.order.group.value + " serves though it is not whole");
      }
    }
  }

  void CheckSettled()
  {
    if (mHarness.CountEligible("verifier-llm") != 3 || mHarness.CountEligible("desk-app") != 2) {
      Fail("not all groups serve again: " + std::to_string(mHarness.CountEligible("verifier-llm")) +
           " and " + std::to_string(mHarness.CountEligible("desk-app")));
    }
    std::set<group_id> known;
    for (const domain_table& table : mHarness.Tables()) {
      for (const group& entry : table.groups) {
        known.insert(entry.id);
      }
    }
    for (const auto& [id, engine] : mHarness.engines) {
      if (engine.holdsGroup && !known.contains(engine.order.group)) {
        Fail(id.value + " was never told to leave " + engine.order.group.value);
      }
    }
  }

  placement_harness mHarness;
  random_source mRandom;
  std::string mViolation;
  revision mSeen;
  std::uint64_t mEngineChanges = 0;
  time_point mNextCheck;
  std::map<group_version, std::vector<placement::group_member>> mMembers;
  std::set<group_version> mServed;
  std::map<domain_name, fencing_token> mSent;
};

} // namespace

// clang-format off
TEST_GROUP(placement_property){};
// clang-format on

TEST(placement_property, GroupsServeOnlyWholeAndInstancesServeOneGroupUnderRandomFailures)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    troubled_deployment deployment(seed);
    deployment.Run();
    if (!deployment.Violation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + deployment.Violation()).c_str());
    }
  }
}
