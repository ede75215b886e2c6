#include "placementscenarios.h"

#include "placementmeter.h"

#include <cstdio>
#include <future>

namespace persimmon::bench {
namespace {

using namespace persimmon::placement;

/// All groups have formed by then.
constexpr duration kWarmUp{ 420'000 };
constexpr duration kScript{ 2'400'000 };
/// From an instance's failure to its next life.
constexpr duration kRestart{ 180'000 };
constexpr int kPlacers = 2;
/// The weight store of the run serves one load after the other: one group's loads at a time.
constexpr std::uint64_t kLoadSlots = 4;

struct deployment
{
  const char* name;
  placement_weights weights;
  const char* zones[3];
  std::vector<service_document> documents;
};

struct named_policy
{
  const char* name;
  placement_policy policy;
};

service_document
Service(const char* aName, std::int64_t aReplicas, std::int64_t aSize, std::int64_t aPriority)
{
  service_document document;
  document.service.value = aName;
  document.model = { aName, "", "v1" };
  document.capacity = { aReplicas, aReplicas * 3 / 4, aSize };
  document.priority = aPriority;
  return document;
}

std::vector<deployment>
Deployments()
{
  return { { "Kigali",
             { 10, 1 },
             { "nyarugenge", "gasabo", "kicukiro" },
             { Service("verifier-llm", 12, 4, 10), Service("triage-llm", 4, 2, 5) } },
           { "Tjaldleid",
             { 1, 10 },
             { "sud-a", "sud-b", "sud-c" },
             { Service("vakt-model", 12, 4, 10), Service("roster-llm", 4, 2, 5) } } };
}

std::vector<named_policy>
Policies()
{
  return { { "placer", {} },
           { "re-form on any loss", { false, true, true, true } },
           { "first fit, no spares", { true, false, false, false } } };
}

/// One deployment in simulated time: 60 servers in six fabric domains, three placers.
class scripted_run
{
public:
  scripted_run(const deployment& aDeployment, const placement_policy& aPolicy, std::uint64_t aSeed)
    : mDeployment(aDeployment)
    , mHarness(aSeed)
    , mMeter(mHarness, aDeployment.documents)
  {
    int index = 0;
    for (const char* zone : aDeployment.zones) {
      for (int part = 0; part < 2; ++part) {
        mHarness.AddInstances("fabric-" + std::to_string(++index), zone, 10);
      }
    }
    for (auto& [id, engine] : mHarness.engines) {
      engine.releaseDropsWeights = true;
    }
    mHarness.net.tick = 200_ms;
    mHarness.net.watchPoll = 50_ms;
    for (int number = 1; number <= kPlacers; ++number) {
      placer_options options;
      options.self.value = "p" + std::to_string(number);
      options.loadSlots = kLoadSlots;
      options.weights = aDeployment.weights;
      options.policy = aPolicy;
      mHarness.AddPlacer(options);
    }
    for (const service_document& document : aDeployment.documents) {
      mHarness.PutDocument(document);
    }
  }

  struct phase
  {
    const char* name;
    placement_cost before;
  };

  /// The parts of the script with the cost at their beginning.
  [[nodiscard]] const std::vector<phase>& Phases() const { return mPhases; }

  placement_cost Run()
  {
    mHarness.RunFor(kWarmUp);
    mMeter.Start();
    Schedule();
    mHarness.RunFor(kScript);
    return mMeter.Cost();
  }

private:
  fake_engine& Engine(const char* aName) { return mHarness.engines.at({ aName }); }

  void Lose(fake_engine& aEngine)
  {
    mHarness.Kill(aEngine);
    mHarness.After(kRestart, [&aEngine] { aEngine.Restart(); });
  }

  void Schedule()
  {
    Begin(0_s, "a member twice", [this] { LoseInTurn(); });
    Begin(300_s, "a straggler", [this] { Straggle(); });
    Begin(560_s, "a dark domain", [this] { Darken("fabric-2"); });
    Begin(900_s, "store down", [this] { StoreOutage(); });
    Begin(1200_s, "two members", [this] { LoseTwo(); });
    Begin(1500_s, "a new version", [this] { ChangeVersion(); });
    Begin(2100_s, "a leaving one", [this] { Leave(); });
  }

  void Begin(duration aAfter, const char* aName, std::function<void()> aStep)
  {
    mHarness.After(aAfter, [this, aName, step = std::move(aStep)] {
      mPhases.push_back({ aName, mMeter.Cost() });
      step();
    });
  }

  void LoseInTurn()
  {
    mHarness.After(60_s, [this] { Lose(Engine("fabric-1-000")); });
    mHarness.After(150_s, [this] { Lose(Engine("fabric-3-003")); });
  }

  void Straggle()
  {
    Engine("fabric-3-001").stepTimeMs = 100;
    mHarness.After(200_s, [this] { Engine("fabric-3-001").stepTimeMs = 20; });
  }

  void Darken(const std::string& aDomain)
  {
    for (auto& [id, engine] : mHarness.engines) {
      if (engine.listed.domain.value == aDomain) {
        mHarness.Kill(engine);
        mHarness.After(120_s, [&engine = engine] { engine.Restart(); });
      }
    }
  }

  void StoreOutage()
  {
    mHarness.storeDown = true;
    mHarness.After(10_s, [this] { Lose(Engine("fabric-4-002")); });
    mHarness.After(60_s, [this] { mHarness.storeDown = false; });
  }

  void LoseTwo()
  {
    Lose(Engine("fabric-6-000"));
    Lose(Engine("fabric-6-005"));
  }

  void ChangeVersion()
  {
    service_document changed = mDeployment.documents.front();
    changed.model.version = "v2";
    mHarness.PutDocument(changed);
  }

  void Leave()
  {
    Engine("fabric-1-004").leaving = true;
    mHarness.After(120_s, [this] { mHarness.Kill(Engine("fabric-1-004")); });
  }

  const deployment& mDeployment;
  placement_harness mHarness;
  placement_meter mMeter;
  std::vector<phase> mPhases;
};

struct script_result
{
  placement_cost cost;
  std::vector<scripted_run::phase> phases;
};

script_result
RunScript(const deployment& aDeployment, const placement_policy& aPolicy, std::uint64_t aSeed)
{
  scripted_run run(aDeployment, aPolicy, aSeed);
  const placement_cost cost = run.Run();
  return { cost, run.Phases() };
}

void
PrintPhases(const script_result& aResult)
{
  for (std::size_t index = 0; index < aResult.phases.size(); ++index) {
    const bool last = index + 1 == aResult.phases.size();
    const placement_cost& after = last ? aResult.cost : aResult.phases[index + 1].before;
    const placement_cost& before = aResult.phases[index].before;
    std::printf("  %-18s down %6.0f  stranded %6.0f\n",
                aResult.phases[index].name,
                after.groupSecondsDown - before.groupSecondsDown,
                after.strandedSeconds - before.strandedSeconds);
  }
}

} // namespace

void
RunPlacementScript(std::uint64_t aSeed)
{
  std::printf("placement under a fixed script of failures, seed %llu: 60 instances, 40 minutes\n",
              static_cast<unsigned long long>(aSeed));
  std::printf("%-10s %-22s %10s %10s %10s %10s %8s %8s\n",
              "deployment",
              "policy",
              "down gs",
              "stranded",
              "slow gs",
              "weighed",
              "writes",
              "loads");
  for (const deployment& where : Deployments()) {
    std::vector<std::future<script_result>> results;
    for (const named_policy& policy : Policies()) {
      results.push_back(
        std::async(std::launch::async, RunScript, std::cref(where), policy.policy, aSeed));
    }
    for (std::size_t index = 0; index < results.size(); ++index) {
      const named_policy policy = Policies()[index];
      const script_result result = results[index].get();
      const placement_cost& cost = result.cost;
      const double weighed = where.weights.downtime * cost.groupSecondsDown +
                             where.weights.stranded * cost.strandedSeconds;
      std::printf("%-10s %-22s %10.0f %10.0f %10.0f %10.0f %8llu %8llu\n",
                  where.name,
                  policy.name,
                  cost.groupSecondsDown,
                  cost.strandedSeconds,
                  cost.slowGroupSeconds,
                  weighed,
                  static_cast<unsigned long long>(cost.storeWrites),
                  static_cast<unsigned long long>(cost.weightLoads));
      PrintPhases(result);
    }
  }
}

void
RunStoreCalls(std::uint64_t aSeed)
{
  constexpr int kRegionPlacers = 9;
  constexpr duration kHour{ 3'600'000 };
  placement_harness harness(aSeed);
  for (int domain = 1; domain <= 6; ++domain) {
    harness.AddInstances(
      "fabric-" + std::to_string(domain), "zone-" + std::to_string(domain / 2), 10);
  }
  for (int number = 0; number < kRegionPlacers; ++number) {
    placer_options options;
    options.self.value = "p" + std::to_string(number);
    harness.AddPlacer(options);
  }
  harness.PutDocument(Service("verifier-llm", 12, 4, 10));
  harness.RunFor(kWarmUp);
  const std::uint64_t writes = harness.storeWrites;
  const std::uint64_t reads = harness.storeReads;
  const std::uint64_t leases = harness.leaseWrites;
  harness.RunFor(kHour);
  std::printf(
    "store calls in an hour without failures, %d placers, 60 instances: %llu lease writes, "
    "%llu reads (lists of leases), %llu other writes; a watch of 30 s each adds %d\n",
    kRegionPlacers,
    static_cast<unsigned long long>(harness.leaseWrites - leases),
    static_cast<unsigned long long>(harness.storeReads - reads),
    static_cast<unsigned long long>(harness.storeWrites - writes),
    kRegionPlacers * 120);
  const std::uint64_t before = harness.storeWrites;
  const std::uint64_t watches = harness.watchCalls;
  harness.Kill(harness.engines.at({ "fabric-1-000" }));
  harness.RunFor(60_s);
  std::printf("one lost member: %llu writes, %llu answered watches over all placers\n",
              static_cast<unsigned long long>(harness.storeWrites - before),
              static_cast<unsigned long long>(harness.watchCalls - watches));
}

} // namespace persimmon::bench
