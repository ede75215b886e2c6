#include "poison/promptparttracker.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

constexpr time_point kNow{ 1000000 };
constexpr std::uint64_t kPoison = 666;
constexpr std::uint64_t kSound = 7;
constexpr std::uint64_t kRequest = 42;
/// Time from the begin of a silence until it is found.
constexpr duration kFoundAfter = 700_ms;

} // namespace

// clang-format off
TEST_GROUP(prompt_part_tracker)
{
  prompt_part_tracker tracker;
  int attemptCount = 0;

  attempt_id Send(const std::vector<std::uint64_t>& aParts, int aUpstream)
  {
    attempt_id attempt{ fmt::format("a{}", attemptCount++) };
    tracker.RecordDispatch(attempt, { fmt::format("u{}", aUpstream) }, { kRequest, aParts }, kNow);
    return attempt;
  }
  attempt_id Begin(const std::vector<std::uint64_t>& aParts, int aUpstream, time_point aNow)
  {
    attempt_id attempt = Send(aParts, aUpstream);
    tracker.RecordHead(attempt, aNow);
    return attempt;
  }
  suspicion_changes Lose(const attempt_id& aAttempt, time_point aNow, loss_kind aKind = loss_kind::broken_off)
  {
    return tracker.RecordLoss(aAttempt, aKind, aNow);
  }
  void RunWell(const std::vector<std::uint64_t>& aParts, time_point aBegin)
  {
    const attempt_id attempt = Begin(aParts, 999, aBegin);
    tracker.RecordData(attempt, aBegin);
    tracker.RecordData(attempt, aBegin + kSoundResponseTime);
    tracker.RecordEnd(attempt);
  }
  /// Begins responses with a part at three upstreams that then are silent from aNow on, and found
  /// silent later.
  suspicion_changes BeginAtThreeThatFallSilent(std::uint64_t aPart, time_point aNow)
  {
    suspicion_changes changes;
    for (int upstream = 0; upstream < 3; ++upstream) {
      Begin({ aPart }, upstream, aNow);
      changes.Append(tracker.RecordSilence({ fmt::format("u{}", upstream) }, aNow, aNow + kFoundAfter));
    }
    return changes;
  }
  bool Refused(std::uint64_t aPart, time_point aNow) const
  {
    return tracker.Check({ 1, aPart }, aNow).verdict == poison_verdict::quarantined;
  }
};
// clang-format on

TEST(prompt_part_tracker, ThirdResponseThatBreaksOffAtItsBeginQuarantines)
{
  for (int upstream = 0; upstream < 2; ++upstream) {
    Lose(Begin({ kPoison }, upstream, kNow), kNow + 50_ms);
  }
  CHECK_FALSE(Refused(kPoison, kNow + 50_ms));
  const auto changes = Lose(Begin({ kPoison }, 2, kNow), kNow + 50_ms);
  CHECK_EQUAL(1, changes.crashes.size());
  CHECK_EQUAL(1, changes.quarantines.size());
  CHECK(Refused(kPoison, kNow + 50_ms));
}

TEST(prompt_part_tracker, CallsOfOneCrashCountOnce)
{
  for (int call = 0; call < 17; ++call) {
    Lose(Begin({ kPoison }, 1, kNow), kNow + 50_ms);
  }
  CHECK_FALSE(Refused(kPoison, kNow + 50_ms));
}

// Guards against sound parts that are blamed for the crashes of others: a harmful part ends its
// upstream when the response begins.
TEST(prompt_part_tracker, ResponsesThatWentOnDoNotCount)
{
  for (int upstream = 0; upstream < 9; ++upstream) {
    const attempt_id attempt = Begin({ kSound }, upstream, kNow);
    tracker.RecordData(attempt, kNow + 10_ms);
    CHECK(Lose(attempt, kNow + 10_ms + kSoundResponseTime + 1_ms).Empty());
  }
  CHECK_FALSE(Refused(kSound, kNow + 1_s));
}

TEST(prompt_part_tracker, ResponsesThatHadNotBegunCountLess)
{
  for (int upstream = 0; upstream < 5; ++upstream) {
    Lose(Send({ kPoison }, upstream), kNow);
  }
  CHECK_FALSE(Refused(kPoison, kNow));
  Lose(Send({ kPoison }, 5), kNow);
  CHECK(Refused(kPoison, kNow));
}

TEST(prompt_part_tracker, SoundResponsesKeepAPopularPartFromBeingRefused)
{
  time_point now = kNow;
  for (int upstream = 0; upstream < 20; ++upstream) {
    RunWell({ kSound }, now);
    now = now + kSoundResponseTime;
    CHECK(Lose(Begin({ kSound }, upstream, now), now + 50_ms).Empty());
    CHECK(tracker.Settle(now).Empty());
  }
  CHECK_FALSE(Refused(kSound, now));
}

// Guards against a popular part that is refused since crashes follow each other faster than its
// sound responses become known.
TEST(prompt_part_tracker, CrashesOfAPartThatWasSoundWaitForSoundResponses)
{
  RunWell({ kSound }, kNow);
  const time_point crash = kNow + kSoundMargin + 1_ms;
  for (int upstream = 0; upstream < 3; ++upstream) {
    CHECK(Lose(Begin({ kSound }, upstream, crash), crash).Empty());
  }
  CHECK(tracker.Settle(crash + kSettlingTime - 1_ms).Empty());
  CHECK_FALSE(Refused(kSound, crash));
  RunWell({ kSound }, crash);
  CHECK(tracker.Settle(crash + kSettlingTime).Empty());
  CHECK_FALSE(Refused(kSound, crash + kSettlingTime));
}

// Guards against a part that was sound, turned harmful, and is never refused.
TEST(prompt_part_tracker, PartThatTurnsHarmfulIsRefusedAfterTheSettlingTime)
{
  RunWell({ kPoison }, kNow);
  const time_point crash = kNow + kSoundMargin + 1_ms;
  for (int upstream = 0; upstream < 3; ++upstream) {
    Lose(Begin({ kPoison }, upstream, crash), crash);
  }
  const auto changes = tracker.Settle(crash + kSettlingTime);
  CHECK_EQUAL(3, changes.crashes.size());
  CHECK(changes.crashes[0].age == kSettlingTime);
  CHECK(Refused(kPoison, crash + kSettlingTime));
}

TEST(prompt_part_tracker, NewsOfAPartThatWasSoundWaitToo)
{
  RunWell({ kSound }, kNow);
  const time_point now = kNow + kSoundMargin + 1_ms;
  const auto crash = [](std::uint64_t aCrash) {
    return peers::crash_message{ kSound, aCrash, kEarlyCrashWeight, false, false, {} };
  };
  CHECK(tracker.Apply({ { crash(1), crash(2), crash(3) }, {} }, now).Empty());
  CHECK_FALSE(Refused(kSound, now));
  tracker.Settle(now + kSettlingTime);
  CHECK(Refused(kSound, now + kSettlingTime));
}

// Guards against a complete answer that did not run the prompt, such as a refusal of the request,
// but acquits its parts.
TEST(prompt_part_tracker, AnswerWithoutTheHeadOfAResponseAcquitsNothing)
{
  for (int upstream = 0; upstream < 3; ++upstream) {
    Lose(Begin({ kPoison }, upstream, kNow), kNow);
  }
  CHECK(tracker.RecordCompletion(Send({ kPoison }, 4), kNow + 1_s).Empty());
  CHECK(Refused(kPoison, kNow + 1_s));
  CHECK_FALSE(tracker.RecordCompletion(Begin({ kPoison }, 5, kNow), kNow + 1_s).Empty());
  CHECK_FALSE(Refused(kPoison, kNow + 1_s));
}

// Guards against a response that stands still and counts only once its upstream's crash is proved,
// long after it was lost.
TEST(prompt_part_tracker, ProvedCrashCountsAsOfTheLoss)
{
  for (int upstream = 0; upstream < 3; ++upstream) {
    const attempt_id attempt = Begin({ kPoison }, upstream, kNow);
    CHECK(Lose(attempt, kNow + 50_ms, loss_kind::stalled).Empty());
  }
  RunWell({ kPoison }, kNow - kSoundMargin);
  for (int upstream = 0; upstream < 3; ++upstream) {
    const auto changes = tracker.RecordCrash({ fmt::format("u{}", upstream) }, kNow + 10_s);
    CHECK(changes.crashes.at(0).age == 10_s - 50_ms);
  }
  CHECK(Refused(kPoison, kNow + 10_s));
}

TEST(prompt_part_tracker, ProofOfACountedLossAddsNothing)
{
  Lose(Begin({ kPoison }, 1, kNow), kNow);
  CHECK(tracker.RecordCrash({ "u1" }, kNow + 1_s).Empty());
}

// Guards against upstreams that fall silent when they crash, and of which nothing proves it.
TEST(prompt_part_tracker, SilenceCountsLikeACrash)
{
  const auto changes = BeginAtThreeThatFallSilent(kPoison, kNow);
  CHECK_EQUAL(3, changes.crashes.size());
  CHECK(changes.crashes[0].age == kFoundAfter);
  CHECK_EQUAL(kEarlyCrashWeight, changes.crashes[0].weight);
  CHECK_EQUAL(1, changes.quarantines.size());
  CHECK(Refused(kPoison, kNow + kFoundAfter));
}

// Guards against sound parts that stay refused since sound upstreams were silent for a moment.
TEST(prompt_part_tracker, SilenceNoLongerCountsOnceTheUpstreamIsHeard)
{
  BeginAtThreeThatFallSilent(kSound, kNow);
  const time_point heard = kNow + kFoundAfter + 1_s;
  const auto changes = tracker.RecordSignOfLife({ "u1" }, heard);
  CHECK_EQUAL(1, changes.crashes.size());
  CHECK(changes.crashes[0].withdrawn);
  CHECK_EQUAL(1, changes.quarantines.size());
  CHECK(changes.quarantines[0].lifted);
  CHECK_FALSE(Refused(kSound, heard));
  CHECK(tracker.RecordSignOfLife({ "u1" }, heard).Empty());
  CHECK(tracker.RecordSignOfLife({ "u9" }, heard).Empty());
}

// Guards against a crash that counts twice: when it is found as a silence and when it is proved.
TEST(prompt_part_tracker, ProofOfACountedSilenceAddsNothing)
{
  for (int upstream = 0; upstream < 2; ++upstream) {
    const attempt_id attempt = Begin({ kPoison }, upstream, kNow);
    const upstream_id life{ fmt::format("u{}", upstream) };
    CHECK_EQUAL(1, tracker.RecordSilence(life, kNow, kNow + kFoundAfter).crashes.size());
    CHECK(tracker.RecordSilence(life, kNow, kNow + kFoundAfter).Empty());
    CHECK(Lose(attempt, kNow + 2_s).Empty());
    CHECK(tracker.RecordCrash(life, kNow + 2_s).Empty());
  }
  CHECK_FALSE(Refused(kPoison, kNow + 2_s));
}

// Guards against an upstream that was silent, went on, and crashed then: the first, withdrawn, must
// not hide the second.
TEST(prompt_part_tracker, CrashAfterASilenceThatWasNoneCounts)
{
  for (int upstream = 0; upstream < 3; ++upstream) {
    const upstream_id life{ fmt::format("u{}", upstream) };
    const attempt_id attempt = Begin({ kPoison }, upstream, kNow);
    tracker.RecordSilence(life, kNow, kNow + kFoundAfter);
    tracker.RecordSignOfLife(life, kNow + 1_s);
    CHECK_EQUAL(1, Lose(attempt, kNow + 1_s).crashes.size());
  }
  CHECK(Refused(kPoison, kNow + 1_s));
}

// Guards against a harmful part whose response had begun when its upstream fell silent, which is
// found some time later; and against sound parts of responses that had gone on by then.
TEST(prompt_part_tracker, SilenceCountsAsOfItsBegin)
{
  for (int upstream = 0; upstream < 3; ++upstream) {
    const upstream_id life{ fmt::format("u{}", upstream) };
    tracker.RecordData(Begin({ kPoison }, upstream, kNow), kNow);
    tracker.RecordData(Begin({ kSound }, upstream, kNow - 300_ms), kNow - 160_ms);
    tracker.RecordSilence(life, kNow + 20_ms, kNow + 20_ms + kFoundAfter);
  }
  CHECK(Refused(kPoison, kNow + 1_s));
  CHECK_FALSE(Refused(kSound, kNow + 1_s));
}

// Guards against a silence that counts after it has ended, since it had to wait for sound
// responses.
TEST(prompt_part_tracker, SilenceThatEndsBeforeItCountsNeverCounts)
{
  RunWell({ kSound }, kNow);
  const time_point since = kNow + kSoundMargin + 1_ms;
  CHECK(BeginAtThreeThatFallSilent(kSound, since).Empty());
  CHECK(tracker.RecordSignOfLife({ "u0" }, since + kFoundAfter).Empty());
  CHECK_EQUAL(2, tracker.Settle(since + kSettlingTime).crashes.size());
  CHECK_FALSE(Refused(kSound, since + kSettlingTime));
}

// Guards against silences without end that fill the memory.
TEST(prompt_part_tracker, NumberOfSilencesIsBounded)
{
  constexpr int kFirst = 1000;
  for (int upstream = kFirst; upstream < kFirst + static_cast<int>(kMaxSilences); ++upstream) {
    Begin({ kSound }, upstream, kNow);
    tracker.RecordSilence({ fmt::format("u{}", upstream) }, kNow, kNow);
  }
  CHECK(BeginAtThreeThatFallSilent(kPoison, kNow).Empty());
  tracker.Prune(kNow + kSuspectLifetime);
  CHECK_FALSE(BeginAtThreeThatFallSilent(kPoison, kNow + kSuspectLifetime).Empty());
}

// Guards against the first of two parts that always come together, whose verdict hides the other.
TEST(prompt_part_tracker, PartsThatAlwaysComeTogetherAreAllRefused)
{
  for (int upstream = 0; upstream < 3; ++upstream) {
    Lose(Begin({ kPoison, kPoison + 1 }, upstream, kNow), kNow);
  }
  CHECK(Refused(kPoison, kNow));
  CHECK(Refused(kPoison + 1, kNow));
}

// Guards against sound parts of requests that are sent to the same upstreams as harmful ones, whose
// news would fill the mesh.
TEST(prompt_part_tracker, CrashThatAPartInQuarantineExplainsIsNotToldOfOthers)
{
  for (int upstream = 0; upstream < 3; ++upstream) {
    Lose(Begin({ kPoison }, upstream, kNow), kNow);
  }
  const attempt_id harmful = Begin({ kSound, kPoison }, 9, kNow);
  const attempt_id other = Begin({ kSound + 1 }, 9, kNow);
  const auto changes = Lose(harmful, kNow + 1_ms);
  CHECK_EQUAL(1, changes.crashes.size());
  CHECK(changes.crashes[0].fingerprint == kPoison);
  CHECK(Lose(other, kNow + 1_ms).Empty());
}

// Guards against made-up parts whose news fill the mesh, or keep a process from refusing a part.
TEST(prompt_part_tracker, NewsAreLimitedButTheOwnVerdictIsNot)
{
  tracker.SetProcesses({ "self" }, std::vector<router_id>(60, { "other" }));
  std::size_t told = 0;
  std::uint64_t part = 10000;
  for (int upstream = 0; upstream < 200; ++upstream) {
    told += Lose(Begin({ ++part }, upstream, kNow), kNow).crashes.size();
  }
  CHECK_EQUAL(static_cast<std::size_t>(kMaxPartNewsAtOnce - kPartNewsReserve), told);
  for (int upstream = 300; upstream < 303; ++upstream) {
    told += Lose(Begin({ kPoison }, upstream, kNow), kNow).crashes.size();
  }
  CHECK_EQUAL(static_cast<std::size_t>(kMaxPartNewsAtOnce - kPartNewsReserve) + 2, told);
  CHECK(Refused(kPoison, kNow));
}

TEST(prompt_part_tracker, WithdrawalsOfCrashesThatWereNotToldAreNotTold)
{
  std::vector<std::uint64_t> parts;
  for (std::uint64_t part = 1; part <= 30; ++part) {
    parts.push_back(part);
  }
  const std::size_t told = Lose(Begin(parts, 1, kNow), kNow).crashes.size();
  CHECK(told > 0);
  const auto changes = tracker.RecordCompletion(Begin(parts, 2, kNow), kNow + 100_ms);
  CHECK_EQUAL(told, changes.crashes.size());
  CHECK_EQUAL(0, tracker.Count(kNow + 100_ms).suspects);
}

// Guards against a sound part that stays refused, since no request with it can prove it sound.
TEST(prompt_part_tracker, PartThatWasSoundIsTriedWhileItIsRefused)
{
  RunWell({ kSound }, kNow - kSoundRunMemory);
  for (int upstream = 0; upstream < 3; ++upstream) {
    Lose(Begin({ kSound }, upstream, kNow), kNow + 50_ms);
  }
  const time_point later = kNow + 1_s;
  const auto check = [this](std::uint64_t aRequest, time_point aNow) {
    return tracker.CheckOrTry({ aRequest, { kSound } }, aNow).verdict;
  };
  CHECK(check(1, later) == poison_verdict::quarantined);
  CHECK(check(2, later + kFirstTrialDelay) == poison_verdict::clear);
  CHECK(check(3, later + kFirstTrialDelay) == poison_verdict::quarantined);
  tracker.RecordDispatch({ "trial" }, { "u9" }, { 2, { kSound } }, later + kFirstTrialDelay);
  Lose({ "trial" }, later + kFirstTrialDelay);
  CHECK(check(2, later + kFirstTrialDelay) == poison_verdict::quarantined);
  const time_point second = later + kFirstTrialDelay + kFirstTrialDelay * kTrialDelayGrowth;
  CHECK(check(4, second) == poison_verdict::clear);
  tracker.RecordDispatch({ "trial2" }, { "u9" }, { 4, { kSound } }, second);
  tracker.RecordHead({ "trial2" }, second);
  tracker.RecordCompletion({ "trial2" }, second + 100_ms);
  CHECK(check(5, second + 100_ms) == poison_verdict::clear);
}

// Guards against trials of a part that never did anything but crash its upstreams, and against
// trials at each process.
TEST(prompt_part_tracker, PartWithoutSoundHistoryOrOfAnotherProcessIsNotTried)
{
  RunWell({ kSound }, kNow - kSoundRunMemory);
  for (int upstream = 0; upstream < 3; ++upstream) {
    Lose(Begin({ kSound, kPoison }, upstream, kNow), kNow + 50_ms);
  }
  const auto check = [this](const std::vector<std::uint64_t>& aParts, time_point aNow) {
    return tracker.CheckOrTry({ 1, aParts }, aNow).verdict;
  };
  check({ kPoison }, kNow + 1_s);
  check({ kSound, kPoison }, kNow + 1_s);
  CHECK(check({ kPoison }, kNow + 60_s) == poison_verdict::quarantined);
  CHECK(check({ kSound, kPoison }, kNow + 60_s) == poison_verdict::quarantined);
  std::size_t responsible = 0;
  const std::vector<router_id> all{ { "a" }, { "b" }, { "c" } };
  for (const router_id& process : all) {
    tracker.SetProcesses(process, all);
    check({ kSound }, kNow + 60_s);
    responsible += check({ kSound }, kNow + 70_s) == poison_verdict::clear ? 1 : 0;
  }
  CHECK_EQUAL(1, responsible);
}

// Guards against a sound part whose trial fails, since the request also has the part that is
// harmful and that the verdict hides.
TEST(prompt_part_tracker, TrialIsKeptForARequestWithoutOtherSuspects)
{
  RunWell({ kSound, kPoison }, kNow - kSoundRunMemory);
  for (int upstream = 0; upstream < 4; ++upstream) {
    Lose(
      Begin(upstream < 3 ? std::vector{ kSound, kPoison } : std::vector{ kSound }, upstream, kNow),
      kNow + 50_ms);
  }
  CHECK(Refused(kSound, kNow + 1_s));
  const auto check = [this](const std::vector<std::uint64_t>& aParts, time_point aNow) {
    return tracker.CheckOrTry({ 1, aParts }, aNow).verdict;
  };
  check({ kSound }, kNow + 1_s);
  const time_point due = kNow + 1_s + kFirstTrialDelay;
  CHECK(check({ kSound, kPoison }, due) == poison_verdict::quarantined);
  CHECK(check({ kSound, kPoison + 1 }, due) == poison_verdict::clear);
}
