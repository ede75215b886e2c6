#include "base/random.h"
#include "routing/admission.h"
#include "routing/clusterview.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

constexpr time_point kStart{ 100000 };
constexpr int kSeeds = 50;
constexpr int kSteps = 400;

/// Reference model: the state of a group after a sequence of events.
struct expected_group
{
  std::uint64_t revision = 0;
  std::uint64_t generation = 0;
  bool serving = false;
  std::set<std::uint64_t> leavingIncarnations;
  std::uint64_t life = 0;
  /// Observations by generation: time in milliseconds and whether the group was complete.
  std::map<std::uint64_t, std::map<std::int64_t, bool>> observations;
};

bool
MayBeEligible(const expected_group& aGroup, time_point aNow)
{
  if (!aGroup.serving || aGroup.leavingIncarnations.contains(aGroup.life)) {
    return false;
  }
  const auto observations = aGroup.observations.find(aGroup.generation);
  if (observations == aGroup.observations.end()) {
    return false;
  }
  const auto newest = *observations->second.rbegin();
  return newest.second && newest.first + kEvidenceLifetime.ms > aNow.ms;
}

} // namespace

// clang-format off
TEST_GROUP(routing_properties){};
// clang-format on

TEST(routing_properties, EligibleGroupIsServingRecentlyObservedAndWithoutLeavingMembers)
{
  int eligible = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    random_source random(static_cast<std::uint64_t>(seed));
    cluster_view view;
    expected_group expected;
    time_point now = kStart;
    for (int step = 0; step < kSteps; ++step) {
      now = now + duration{ static_cast<std::int64_t>(random.Below(400)) };
      const std::uint64_t generation = random.Below(3) + expected.generation;
      switch (random.Below(8)) {
        case 0: {
          placement::domain_table table;
          table.domain.value = "d1";
          placement::group group;
          group.id.value = "g1";
          group.service.value = "s1";
          group.model = { "m", "", "v1" };
          group.version.value = generation;
          const bool serving = random.Chance(0.8);
          group.state =
            serving ? placement::group_state::serving : placement::group_state::draining;
          const std::uint64_t life = expected.life + random.Below(2);
          group.members = { { { "i1" }, { "127.0.0.1:1" }, { life } } };
          table.groups = { group };
          const std::uint64_t revision =
            std::max<std::uint64_t>(1, random.Below(4) + expected.revision);
          view.Apply(
            peers::table_message{ { "d1" }, { revision }, placement::RenderDomainTable(table) },
            now);
          if (revision > expected.revision) {
            expected.revision = revision;
            expected.generation = generation;
            expected.serving = serving;
            expected.life = life;
          }
          break;
        }
        case 1:
          if (random.Chance(0.2)) {
            view.Apply(peers::leaving_message{ { "i1" }, { expected.life } }, now);
            expected.leavingIncarnations.insert(expected.life);
          }
          break;
        default: {
          const bool whole = random.Chance(0.9);
          view.Apply(peers::presence_message{ { "g1" }, { generation }, { "r1" }, {}, whole, 0, 0 },
                     now);
          // A second observation within one millisecond is not newer and changes nothing.
          expected.observations[generation].emplace(now.ms, whole);
          break;
        }
      }
      const auto service = view.Service({ "s1" });
      const bool isEligible = service->EligibleCount(now) > 0;
      CHECK(!isEligible || MayBeEligible(expected, now));
      eligible += isEligible ? 1 : 0;
    }
  }
  CHECK(eligible > kSeeds);
}

TEST(routing_properties, EachRequestGetsOneVerdictAndLimitsHold)
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    random_source random(static_cast<std::uint64_t>(seed));
    admission control({ "r1" }, { "s1" });
    service_document document;
    document.limits.concurrencyPerUpstream = 4;
    document.limits.maxQueued = 10;
    document.customers = { { { "a" }, "", 1 }, { { "b" }, "", 3 } };
    control.SetDocument(document);
    control.SetUpstreams(2, kStart);
    std::map<std::string, admission_verdict> verdicts;
    std::set<std::string> submitted;
    std::set<std::string> running;
    const auto record = [&](const std::vector<admission_action>& aActions) {
      for (const admission_action& action : aActions) {
        CHECK(verdicts.emplace(action.request.value, action.verdict).second);
        if (action.verdict == admission_verdict::start) {
          running.insert(action.request.value);
        }
      }
    };
    time_point now = kStart;
    for (int step = 0; step < kSteps; ++step) {
      now = now + duration{ static_cast<std::int64_t>(random.Below(60)) };
      const std::uint64_t kind = random.Below(10);
      if (kind < 6) {
        const std::string request = fmt::format("{}", step);
        submitted.insert(request);
        const time_point deadline = now + duration{ static_cast<std::int64_t>(random.Below(3000)) };
        const char* customer = random.Chance(0.7) ? "a" : "b";
        record(control.Submit(
          { { request }, { customer }, static_cast<std::uint8_t>(random.Below(8)), deadline },
          now));
      } else if (kind < 9 && !running.empty()) {
        const std::string request = *running.begin();
        running.erase(running.begin());
        record(control.Finish({ request }, now));
      } else {
        record(control.Tick(now));
      }
      CHECK_EQUAL(running.size(), control.Running());
      CHECK(control.Running() <= 8);
      CHECK(control.Waiting() <= 10);
      CHECK_EQUAL(submitted.size(), verdicts.size() + control.Waiting());
    }
    record(control.Tick(now + 10_s));
    CHECK_EQUAL(submitted.size(), verdicts.size());
  }
}
