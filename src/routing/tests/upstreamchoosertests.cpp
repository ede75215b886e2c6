#include "routing/upstreamchooser.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

constexpr time_point kStart{ 100000 };
constexpr std::uint64_t kSeed = 7;

candidate
Candidate(int aNumber, const char* aZone = "sud-a", std::uint64_t aGeneration = 1)
{
  auto target = std::make_shared<upstream>();
  target->id.value = fmt::format("g{:02}", aNumber);
  target->zone.value = aZone;
  target->generation.value = aGeneration;
  candidate result;
  result.target = std::move(target);
  return result;
}

std::vector<candidate>
Candidates(int aCount)
{
  std::vector<candidate> result;
  result.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    result.push_back(Candidate(number));
  }
  return result;
}

} // namespace

// clang-format off
TEST_GROUP(upstream_chooser)
{
  upstream_chooser chooser{ { "sud-a" }, kSeed };

  std::map<std::string, int> CountChoices(int aCount, const choice_request& aRequest, time_point aNow)
  {
    std::map<std::string, int> result;
    for (int number = 0; number < aCount; ++number) {
      const upstream_choice choice = chooser.Choose(aRequest, aNow);
      ++result[choice.target ? choice.target->id.value : ChoiceReasonName(choice.why)];
    }
    return result;
  }
  void CompleteDispatch(std::size_t aSlot, duration aElapsed, std::uint32_t aTokens, time_point aNow)
  {
    const dispatch_ticket ticket = chooser.Pool().Start(aSlot, aNow);
    chooser.Pool().Finish(ticket, { attempt_outcome::completed, aTokens }, aNow + aElapsed);
  }
  void MakeSlow(std::size_t aSlot, std::size_t aCount)
  {
    for (std::size_t slot = 0; slot < aCount; ++slot) {
      for (int round = 0; round < 5; ++round) {
        CompleteDispatch(slot, slot == aSlot ? 900_ms : 300_ms, 10, kStart);
      }
    }
    chooser.Pool().UpdateHealth(kStart + 900_ms);
  }
};
// clang-format on

TEST(upstream_chooser, SamePrefixGoesToTheSameUpstreamFromAnyRouter)
{
  chooser.Pool().Update(Candidates(20), kStart);
  upstream_chooser other({ "sud-b" }, kSeed + 1);
  auto reversed = Candidates(20);
  std::reverse(reversed.begin(), reversed.end());
  other.Pool().Update(reversed, kStart);
  const choice_request request{ PrefixHash({ "vakt-model" }, "You are a clerk."), {}, true };
  const upstream_choice first = chooser.Choose(request, kStart);
  CHECK(first.why == choice_reason::affinity);
  CHECK(first.target->id == other.Choose(request, kStart).target->id);
}

TEST(upstream_chooser, PrefixesSpreadEvenlyOverTheUpstreams)
{
  chooser.Pool().Update(Candidates(20), kStart);
  std::map<std::string, int> chosenCounts;
  for (int number = 0; number < 20000; ++number) {
    const std::uint64_t prefix = PrefixHash({ "vakt-model" }, fmt::format("prompt {}", number));
    ++chosenCounts[chooser.Choose({ prefix, {}, true }, kStart).target->id.value];
  }
  CHECK_EQUAL(20, chosenCounts.size());
  for (const auto& [id, count] : chosenCounts) {
    CHECK(count > 700 && count < 1300);
  }
}

TEST(upstream_chooser, OverloadedPrefixOwnerSpillsToTheNextInRendezvousOrder)
{
  chooser.Pool().Update(Candidates(4), kStart);
  const choice_request request{ 77, {}, true };
  const upstream_choice owner = chooser.Choose(request, kStart);
  chooser.Pool().Start(owner.slot, kStart);
  const upstream_choice next = chooser.Choose(request, kStart);
  CHECK(next.why == choice_reason::affinity_spill);
  CHECK(next.slot != owner.slot);
  CHECK_EQUAL(1, CountChoices(10, request, kStart).size());
}

TEST(upstream_chooser, LoadOfASinglePrefixIsBoundedByTheMean)
{
  chooser.Pool().Update(Candidates(10), kStart);
  for (int number = 0; number < 200; ++number) {
    chooser.Pool().Start(chooser.Choose({ 77, {}, true }, kStart).slot, kStart);
  }
  for (const pool_slot& slot : chooser.Pool().Slots()) {
    CHECK(slot.load <= 26);
  }
}

TEST(upstream_chooser, PopularPrefixHasSeveralOwnersWithoutLoadReports)
{
  chooser.Pool().Update(Candidates(40), kStart);
  std::map<std::string, int> popular;
  std::map<std::string, int> rare;
  for (std::uint64_t number = 0; number < 4000; ++number) {
    const bool isPopular = number % 4 == 0;
    const bool isRare = number % 400 == 1;
    const std::uint64_t prefix = isPopular ? 1 : (isRare ? 2 : 1000 + number);
    const upstream_choice choice = chooser.Choose({ prefix, {}, false }, kStart);
    popular[choice.target->id.value] += isPopular ? 1 : 0;
    rare[choice.target->id.value] += isRare ? 1 : 0;
  }
  for (const auto& [id, count] : popular) {
    CHECK(count <= 250);
  }
  CHECK_EQUAL(10, std::max_element(rare.begin(), rare.end(), [](auto& aLeft, auto& aRight) {
                    return aLeft.second < aRight.second;
                  })->second);
}

TEST(upstream_chooser, PrefixPopularityDecays)
{
  prefix_popularity popularity;
  for (int number = 0; number < 1000; ++number) {
    popularity.RecordRequest(1);
  }
  CHECK(popularity.RecordRequest(1) > 0.9);
  for (std::uint64_t number = 0; number < 100000; ++number) {
    popularity.RecordRequest(2 + number);
  }
  CHECK(popularity.RecordRequest(1) < 0.01);
}

TEST(upstream_chooser, LoadCountsOnlyDispatchesAndEndsSinceTheReport)
{
  chooser.Pool().Update(Candidates(1), kStart);
  upstream_pool& pool = chooser.Pool();
  const dispatch_ticket before = pool.Start(0, kStart);
  const dispatch_ticket after = pool.Start(0, kStart + 200_ms);
  pool.ApplyLoadReport(0, { 5, 1, kStart + 100_ms });
  CHECK_EQUAL(7, pool.Slots()[0].load);
  pool.Finish(before, { attempt_outcome::completed, 1 }, kStart + 300_ms);
  CHECK_EQUAL(6, pool.Slots()[0].load);
  pool.Finish(after, { attempt_outcome::completed, 1 }, kStart + 400_ms);
  CHECK_EQUAL(5, pool.Slots()[0].load);
  pool.ApplyLoadReport(0, { 2, 0, kStart + 350_ms });
  CHECK_EQUAL(2, pool.Slots()[0].load);
  pool.ApplyLoadReport(0, { 9, 9, kStart + 50_ms });
  CHECK_EQUAL(2, pool.Slots()[0].load);
}

TEST(upstream_chooser, ReportedLoadConvergesToTheMeanWithAge)
{
  auto candidates = Candidates(2);
  candidates[0].load = { 20, 0, kStart };
  candidates[1].load = { 0, 0, kStart };
  chooser.Pool().Update(candidates, kStart);
  CHECK_EQUAL(20, chooser.Pool().Slots()[0].load);
  chooser.Pool().UpdateHealth(kStart + 60_s);
  CHECK_EQUAL(10, chooser.Pool().Slots()[0].load);
  CHECK_EQUAL(10, chooser.Pool().Slots()[1].load);
}

TEST(upstream_chooser, OwnDispatchesAreWeightedByRouterCountInTheEstimateButNotForTheLimit)
{
  chooser.Pool().SetRouterCount(3);
  chooser.Pool().SetLimit(2);
  chooser.Pool().Update(Candidates(1), kStart);
  chooser.Pool().Start(0, kStart);
  CHECK_EQUAL(3, chooser.Pool().Slots()[0].load);
  CHECK(chooser.Choose({}, kStart).target != nullptr);
  chooser.Pool().Start(0, kStart);
  CHECK(chooser.Choose({}, kStart).why == choice_reason::all_full);
}

TEST(upstream_chooser, OwnZoneIsPreferredUntilOverloaded)
{
  chooser.Pool().Update({ Candidate(0, "sud-a"), Candidate(1, "sud-b"), Candidate(2, "sud-c") },
                        kStart);
  const upstream_choice own = chooser.Choose({}, kStart);
  CHECK(own.why == choice_reason::own_zone);
  for (int number = 0; number < 5; ++number) {
    chooser.Pool().Start(own.slot, kStart);
  }
  const upstream_choice other = chooser.Choose({}, kStart);
  CHECK(other.why == choice_reason::other_zone);
  CHECK(other.slot != own.slot);
}

TEST(upstream_chooser, SlowUpstreamGetsOnlyTestsAndIsReleasedWhenFastAgain)
{
  chooser.Pool().Update(Candidates(10), kStart);
  MakeSlow(3, 10);
  CHECK(chooser.Pool().Health(3, kStart) == pool_health::probation);
  const int tests = CountChoices(1000, {}, kStart + 5_s)["g03"];
  CHECK(tests > 0);
  CHECK(tests <= 5);
  CHECK_EQUAL(0, CountChoices(1000, { 0, {}, false }, kStart + 5_s)["g03"]);
  for (int round = 0; round < 4; ++round) {
    CompleteDispatch(3, 300_ms, 10, kStart + 5_s);
  }
  chooser.Pool().UpdateHealth(kStart + 6_s);
  CHECK(chooser.Pool().Health(3, kStart + 6_s) == pool_health::good);
}

TEST(upstream_chooser, SlowUpstreamIsDetectedBeforeItsStreamsEnd)
{
  chooser.Pool().Update(Candidates(10), kStart);
  for (std::size_t slot = 0; slot < 10; ++slot) {
    const dispatch_ticket ticket = chooser.Pool().Start(slot, kStart);
    chooser.Pool().RecordProgress(ticket, 0, kStart + 100_ms);
    for (std::int64_t half = 1; half <= 3; ++half) {
      const auto tokens = static_cast<std::uint32_t>(half * (slot == 6 ? 5 : 25));
      chooser.Pool().RecordProgress(ticket, tokens, kStart + 100_ms + 500_ms * half);
    }
  }
  chooser.Pool().UpdateHealth(kStart + 1600_ms);
  CHECK(chooser.Pool().Health(6, kStart + 1600_ms) == pool_health::probation);
}

TEST(upstream_chooser, TimeInTheUpstreamQueueDoesNotCountAsSlow)
{
  chooser.Pool().Update(Candidates(10), kStart);
  for (std::size_t slot = 0; slot < 10; ++slot) {
    for (int round = 0; round < 4; ++round) {
      const dispatch_ticket ticket = chooser.Pool().Start(slot, kStart);
      const time_point first = kStart + (slot == 2 ? 900_ms : 100_ms);
      chooser.Pool().RecordProgress(ticket, 0, first);
      chooser.Pool().Finish(ticket, { attempt_outcome::completed, 20 }, first + 300_ms);
    }
  }
  chooser.Pool().UpdateHealth(kStart + 1200_ms);
  CHECK(chooser.Pool().Health(2, kStart + 1200_ms) == pool_health::good);
}

TEST(upstream_chooser, AtMostOneInFiveUpstreamsIsOnProbation)
{
  chooser.Pool().Update(Candidates(10), kStart);
  for (std::size_t slot = 0; slot < 10; ++slot) {
    for (int round = 0; round < 5; ++round) {
      CompleteDispatch(slot, slot < 4 ? 2000_ms : 300_ms, 10, kStart);
    }
  }
  chooser.Pool().UpdateHealth(kStart + 2_s);
  int probation = 0;
  for (const pool_slot& slot : chooser.Pool().Slots()) {
    probation += slot.onProbation ? 1 : 0;
  }
  CHECK_EQUAL(2, probation);
}

TEST(upstream_chooser, StalledUpstreamIsOnProbationUntilProgress)
{
  chooser.Pool().Update(Candidates(10), kStart);
  for (std::size_t slot = 0; slot < 10; ++slot) {
    CompleteDispatch(slot, 200_ms, 10, kStart);
  }
  const dispatch_ticket stalled = chooser.Pool().Start(4, kStart);
  chooser.Pool().UpdateHealth(kStart + 3_s);
  CHECK(chooser.Pool().Health(4, kStart + 3_s) == pool_health::probation);
  chooser.Pool().RecordProgress(stalled, 0, kStart + 3_s);
  chooser.Pool().UpdateHealth(kStart + 3100_ms);
  CHECK(chooser.Pool().Health(4, kStart + 3100_ms) == pool_health::good);
}

TEST(upstream_chooser, FailedUpstreamIsNotChosenDuringItsBackoff)
{
  chooser.Pool().Update(Candidates(2), kStart);
  const dispatch_ticket ticket = chooser.Pool().Start(0, kStart);
  chooser.Pool().Finish(ticket, { attempt_outcome::failed, 0 }, kStart);
  CHECK_EQUAL(50, CountChoices(50, {}, kStart + 400_ms)["g01"]);
  CHECK(CountChoices(50, {}, kStart + 600_ms)["g00"] > 0);
}

TEST(upstream_chooser, FailedUpstreamIsChosenWhenNoOtherIsLeft)
{
  chooser.Pool().Update(Candidates(2), kStart);
  const dispatch_ticket ticket = chooser.Pool().Start(0, kStart);
  chooser.Pool().Finish(ticket, { attempt_outcome::failed, 0 }, kStart);
  const upstream_choice choice = chooser.Choose({ 5, { { "g01" } }, true }, kStart);
  CHECK(choice.why == choice_reason::last_resort);
  STRCMP_EQUAL("g00", choice.target->id.value.c_str());
}

TEST(upstream_chooser, EjectionIsIgnoredWhenMostUpstreamsAreEjected)
{
  chooser.Pool().Update(Candidates(4), kStart);
  for (const std::size_t slot : { 0, 1, 2 }) {
    const dispatch_ticket ticket = chooser.Pool().Start(slot, kStart);
    chooser.Pool().Finish(ticket, { attempt_outcome::failed, 0 }, kStart);
  }
  CHECK_EQUAL(50, CountChoices(50, {}, kStart)["g03"]);
  chooser.Pool().UpdateHealth(kStart);
  CHECK_EQUAL(4, CountChoices(200, {}, kStart).size());
}

TEST(upstream_chooser, ReasonIsReturnedWhenNoUpstreamIsChosen)
{
  CHECK(chooser.Choose({}, kStart).why == choice_reason::none_eligible);
  chooser.Pool().Update(Candidates(2), kStart);
  CHECK(chooser.Choose({ 5, { { "g00" }, { "g01" } }, true }, kStart).why ==
        choice_reason::all_excluded);
  chooser.Pool().SetLimit(1);
  chooser.Pool().Start(0, kStart);
  chooser.Pool().Start(1, kStart);
  CHECK(chooser.Choose({ 5, {}, true }, kStart).why == choice_reason::all_full);
}

TEST(upstream_chooser, UpstreamBecomesIneligibleOnExpiryWithoutAnUpdate)
{
  auto candidates = Candidates(2);
  candidates[0].evidenceExpiresAt = kStart + 2_s;
  chooser.Pool().Update(candidates, kStart);
  CHECK(CountChoices(50, {}, kStart)["g00"] > 0);
  CHECK_EQUAL(50, CountChoices(50, {}, kStart + 2_s)["g01"]);
}

TEST(upstream_chooser, NewGenerationStartsWithoutEarlierStatistics)
{
  chooser.Pool().Update(Candidates(2), kStart);
  const dispatch_ticket old = chooser.Pool().Start(0, kStart);
  auto candidates = Candidates(2);
  candidates[0] = Candidate(0, "sud-a", 2);
  chooser.Pool().Update(candidates, kStart);
  CHECK_EQUAL(0, chooser.Pool().Slots()[0].load);
  chooser.Pool().Finish(old, { attempt_outcome::failed, 0 }, kStart);
  CHECK(chooser.Pool().Health(0, kStart) == pool_health::good);
}
