#include "gateway/attempt.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;
using fleet::fault_evidence;

// clang-format off
TEST_GROUP(attempt)
{
  attempt sent;
  time_point now{ 50000 };

  void setup() override { sent.watchedAt = now; }

  /// Lets time pass in which this process runs a tick every 50 ms.
  void Watch(duration aTime)
  {
    for (const time_point end = now + aTime; now < end;) {
      now = now + 50_ms;
      sent.Watch(now);
    }
  }
};
// clang-format on

// Guards against a call for which no second upstream is tried, since the entries of its silent
// group lapse, or its service leaves the configuration, before another group is free.
TEST(attempt, MarkThatVanishesWithItsGroupLeavesTheAttemptStalled)
{
  sent.RecordEvidence(fault_evidence::silence, true);
  CHECK(sent.NeedsSecond());
  sent.RecordEvidence(std::nullopt, false);
  CHECK(sent.NeedsSecond());
  // The group is back and all its members have reported.
  sent.RecordEvidence(std::nullopt, true);
  CHECK_FALSE(sent.NeedsSecond());
}

TEST(attempt, GroupThatIsOnlyUnknownDoesNotStallTheAttempt)
{
  sent.RecordEvidence(std::nullopt, false);
  CHECK_FALSE(sent.NeedsSecond());
}

// Guards against a second run of a call whose response has gone on.
TEST(attempt, AttemptThatReceivesSomethingIsNotStalled)
{
  sent.RecordEvidence(fault_evidence::silence, true);
  sent.OnReceived(now);
  CHECK_FALSE(sent.isStalled);
  CHECK(sent.lastReceivedAt == now);
}

// Guards against events that come twice: the second upstream would begin after the last id.
TEST(attempt, StreamWithEventsWithoutIdsGetsNoSecondAttempt)
{
  sent.framer.Feed("id: 1\ndata: a\n\n");
  sent.RecordEvidence(fault_evidence::silence, true);
  CHECK(sent.NeedsSecond());
  sent.framer.Feed("data: b\n\n");
  CHECK_FALSE(sent.NeedsSecond());
}

// Guards against a stream whose first attempt is ended for the response head of the second one: no
// event has come from it, and it may be lost.
TEST(attempt, AttemptWithoutAResponseMayGoOnWithAStreamThatAnotherOneHasBegun)
{
  CHECK(sent.MayGoOnWithStream());
  // A response that is no stream can't go on with it.
  sent.responseInfo = response_info{};
  CHECK_FALSE(sent.MayGoOnWithStream());
}

// Guards against an upstream that counts as silent for the time in which this process was
// suspended.
TEST(attempt, TimeInWhichThisProcessWasSuspendedIsNotWatched)
{
  Watch(300_ms);
  CHECK(sent.watchedFor == 300_ms);
  now = now + 5_s;
  sent.Watch(now);
  CHECK(sent.watchedFor <= 500_ms);
}
