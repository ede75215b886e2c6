#include "base/random.h"
#include "standins/engine/engineinstance.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace persimmon;
using namespace persimmon::standins;

namespace {

const instance_id kHead{ "i0" };
const instance_id kOther{ "i1" };
const endpoint kHeadAddress{ "127.0.0.1:1" };
const endpoint kOtherAddress{ "127.0.0.1:2" };
constexpr time_point kLoaded{ 1000 };

engine_options
Options()
{
  engine_options options;
  options.loadTime = 100_ms;
  options.tokenInterval = 10_ms;
  options.maxRunning = 1;
  options.maxQueued = 3;
  return options;
}

engine_order
Load(std::uint64_t aToken, std::uint64_t aGeneration = 1)
{
  engine_order order;
  order.token.value = aToken;
  order.group.value = "g";
  order.version.value = aGeneration;
  order.model = "m";
  order.modelVersion = "v";
  order.life.value = 1;
  order.members = { { kHead, kHeadAddress, { 1 } }, { kOther, kOtherAddress, { 1 } } };
  return order;
}

engine_request
Request(std::uint64_t aNumber, std::uint32_t aPriority = 3, std::size_t aResume = 0)
{
  engine_request request;
  request.number = aNumber;
  request.group.value = "g";
  request.version.value = 1;
  request.priority = aPriority;
  request.resumeTokens = aResume;
  request.maxTokens = 4;
  request.body = "body";
  return request;
}

std::size_t
CountOf(const std::vector<engine_output>& aOutputs, engine_output::kind aKind)
{
  return static_cast<std::size_t>(std::count_if(
    aOutputs.begin(), aOutputs.end(), [&](const auto& aOutput) { return aOutput.what == aKind; }));
}

} // namespace

// clang-format off
TEST_GROUP(engine_instance)
{
  engine_instance engine{ Options(), kHead };
  member_board board;

  void HearOther(time_point aNow, std::uint64_t aGeneration = 1, std::uint64_t aLife = 1)
  {
    board.Report(kOtherAddress,
                 { kOther, { aLife }, { "g" }, { aGeneration }, engine_state::ready, aNow });
  }

  void BecomeReady()
  {
    CHECK(engine.Handle(Load(4), { 0 }).refusal.empty());
    HearOther(kLoaded);
    engine.Tick(kLoaded, board);
  }
};
// clang-format on

TEST(engine_instance, ChecksFencingTokensOnlyWhenToldTo)
{
  engine_options careless = Options();
  careless.fencing = false;
  engine_instance obeying(careless, kHead);
  CHECK(engine.Handle(Load(4), { 0 }).refusal.empty());
  CHECK(obeying.Handle(Load(4), { 0 }).refusal.empty());
  STRCMP_EQUAL("stale_token", engine.Handle(Load(3, 2), { 1 }).refusal.c_str());
  CHECK(obeying.Handle(Load(3, 2), { 1 }).refusal.empty());
}

TEST(engine_instance, RefusesOrdersMeantForAnEarlierLife)
{
  engine.Die("died");
  engine.Return();
  STRCMP_EQUAL("wrong_incarnation", engine.Handle(Load(4), { 0 }).refusal.c_str());
}

TEST(engine_instance, WaitsForTheWeightsOfItsNewestLoadOnly)
{
  engine_options options = Options();
  options.fetchesWeights = true;
  engine_instance fetching(options, kHead);
  const auto first = fetching.Handle(Load(4, 1), { 0 }).fetch;
  const auto second = fetching.Handle(Load(4, 2), { 1 }).fetch;
  fetching.WeightsFetched(*first);
  fetching.Tick(kLoaded, board);
  CHECK(fetching.Report(kLoaded).state == engine_state::loading);
  fetching.WeightsFetched(*second);
  fetching.Tick(kLoaded, board);
  CHECK(fetching.Report(kLoaded).state == engine_state::ready);
}

TEST(engine_instance, RefusesWhatIsMeantForAnotherGeneration)
{
  BecomeReady();
  engine_request request = Request(1);
  request.version.value = 2;
  STRCMP_EQUAL("wrong_generation", engine.Submit(request, kLoaded, board)->reason.c_str());
}

TEST(engine_instance, RunsNothingUnlessAllMembersAreHeardInTheirLifeAndGeneration)
{
  BecomeReady();
  CHECK_FALSE(engine.Submit(Request(1), kLoaded, board).has_value());
  CHECK(engine.Submit(Request(2), kLoaded + 301_ms, board).has_value());
  HearOther(kLoaded, 2);
  CHECK(engine.Submit(Request(3), kLoaded, board).has_value());
  HearOther(kLoaded, 1, 2);
  CHECK(engine.Submit(Request(4), kLoaded, board).has_value());
  board.Forget(kOtherAddress);
  CHECK(engine.Submit(Request(5), kLoaded, board).has_value());
}

TEST(engine_instance, DeathOfAMemberCutsWhatRunsAndRefusesWhatWaits)
{
  BecomeReady();
  engine.Submit(Request(1), kLoaded, board);
  engine.Submit(Request(2), kLoaded, board);
  CHECK_EQUAL(1, CountOf(engine.Tick(kLoaded, board), engine_output::kind::started));
  board.Forget(kOtherAddress);
  const auto outputs = engine.Tick(kLoaded + 1_ms, board);
  CHECK_EQUAL(1, CountOf(outputs, engine_output::kind::cut));
  CHECK_EQUAL(1, CountOf(outputs, engine_output::kind::refused));
}

TEST(engine_instance, NothingGoesOnWhileAMemberIsPaused)
{
  BecomeReady();
  board.Report(kOtherAddress,
               { kOther, { 1 }, { "g" }, { 1 }, engine_state::ready, kLoaded, false });
  CHECK_FALSE(engine.Submit(Request(1), kLoaded, board).has_value());
  CHECK(engine.Tick(kLoaded + 200_ms, board).empty());
  CHECK_EQUAL(1, CountOf(engine.Tick(kLoaded + 301_ms, board), engine_output::kind::refused));
}

TEST(engine_instance, LongPausedHeadFindsThatItsMembersGaveUp)
{
  BecomeReady();
  engine.Submit(Request(1), kLoaded, board);
  engine.Tick(kLoaded, board);
  CHECK(engine.Wake(300_ms).empty());
  STRCMP_EQUAL("paused", engine.Wake(301_ms).front().text.c_str());
}

TEST(engine_instance, DrainingFinishesWhatItHasAndTakesNoMore)
{
  BecomeReady();
  engine.Submit(Request(1), kLoaded, board);
  engine_order drain = Load(4);
  drain.kind = order_kind::drain;
  CHECK(engine.Handle(drain, kLoaded).outputs.empty());
  STRCMP_EQUAL("draining", engine.Submit(Request(2), kLoaded, board)->reason.c_str());
  std::size_t completed = 0;
  for (std::int64_t ms = 0; ms < 100; ms += 10) {
    HearOther(kLoaded + duration{ ms });
    completed +=
      CountOf(engine.Tick(kLoaded + duration{ ms }, board), engine_output::kind::completed);
  }
  CHECK_EQUAL(1, completed);
}

TEST(engine_instance, StartsTheMostUrgentFirst)
{
  BecomeReady();
  engine.Submit(Request(1, 5), kLoaded, board);
  engine.Submit(Request(2, 0), kLoaded, board);
  CHECK_EQUAL(2, engine.Tick(kLoaded, board).front().request->number);
}

TEST(engine_instance, ResumptionGivesTheRestOfTheSameAnswer)
{
  BecomeReady();
  engine.Submit(Request(1, 3, 2), kLoaded, board);
  engine.Tick(kLoaded, board);
  HearOther(kLoaded + 200_ms);
  const auto outputs = engine.Tick(kLoaded + 200_ms, board);
  const answer_tokens answer("body");
  CHECK_EQUAL(2, CountOf(outputs, engine_output::kind::tokens));
  STRCMP_EQUAL(answer.Token(2).c_str(), outputs[0].text.c_str());
  STRCMP_EQUAL(answer.Token(3).c_str(), outputs[1].text.c_str());
  STRCMP_EQUAL(answer.Text(4).c_str(), outputs.back().text.c_str());
}

TEST(engine_instance, MarkedRequestEndsTheLifeAfterItStarted)
{
  BecomeReady();
  engine.SetCrashMarker("bod");
  engine.Submit(Request(1), kLoaded, board);
  const auto outputs = engine.Tick(kLoaded, board);
  CHECK_EQUAL(1, CountOf(outputs, engine_output::kind::started));
  CHECK_EQUAL(1, CountOf(outputs, engine_output::kind::cut));
  CHECK(engine.IsDead());
}

TEST(engine_instance, EveryRequestEndsOnceAndARefusedOneNeverStarted)
{
  struct fate
  {
    std::size_t started = 0;
    std::size_t ended = 0;
    bool refused = false;
  };
  std::size_t started = 0;
  std::size_t refused = 0;
  constexpr std::uint64_t kSeeds = 200;
  constexpr std::uint64_t kSteps = 100;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    engine_instance subject(Options(), kHead);
    random_source random(seed);
    std::map<std::uint64_t, fate> fates;
    std::uint64_t last = 0;
    time_point now;
    std::uint64_t life = 1;
    const auto record = [&fates](const std::vector<engine_output>& aOutputs) {
      for (const engine_output& output : aOutputs) {
        fate& entry = fates[output.request->number];
        entry.started += output.what == engine_output::kind::started ? 1 : 0;
        entry.refused = entry.refused || output.what == engine_output::kind::refused;
        const bool ends =
          output.what != engine_output::kind::started && output.what != engine_output::kind::tokens;
        entry.ended += ends ? 1 : 0;
      }
    };
    for (std::uint64_t step = 0; step < kSteps; ++step) {
      now = now + duration{ static_cast<std::int64_t>(random.Below(40)) };
      switch (random.Below(8)) {
        case 0: {
          engine_order order = Load(4, random.Chance(0.9) ? 1 : 2);
          order.life.value = life;
          order.kind =
            random.Chance(0.7) ? order_kind::load : static_cast<order_kind>(random.Below(4));
          record(subject.Handle(order, now).outputs);
          break;
        }
        case 1:
          if (random.Chance(0.2)) {
            board.Forget(kOtherAddress);
          }
          break;
        case 2:
          if (random.Chance(0.2)) {
            record(subject.Die("died"));
            subject.Return();
            ++life;
          }
          break;
        case 3:
          if (const auto cut = subject.Cancel(1 + random.Below(last + 1))) {
            record({ *cut });
          }
          break;
        case 4:
          HearOther(now, random.Chance(0.9) ? 1 : 2);
          break;
        default:
          subject.Submit(Request(++last, static_cast<std::uint32_t>(random.Below(8))), now, board);
          record(subject.Tick(now, board));
      }
    }
    record(subject.Die("end"));
    for (const auto& [number, entry] : fates) {
      CHECK_EQUAL(1, entry.ended);
      CHECK_EQUAL(entry.refused ? 0 : 1, entry.started);
      started += entry.started;
      refused += entry.refused ? 1 : 0;
    }
  }
  // The seeds must bring about enough of both to mean something.
  CHECK(started > kSeeds);
  CHECK(refused > kSeeds);
}
