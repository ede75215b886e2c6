#include "gateway/attempt.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;
using fleet::fault_evidence;

// clang-format off
TEST_GROUP(attempt)
{
  attempt sent;
};
// clang-format on

// Guards against a call for which no second upstream is tried, since the entries of its silent
// group lapse, or its service leaves the configuration, before another group is free.
TEST(attempt, MarkThatVanishesWithItsGroupLeavesTheAttemptStalled)
{
  sent.RecordEvidence(fault_evidence::silence, true);
  CHECK(sent.isStalled);
  sent.RecordEvidence(std::nullopt, false);
  CHECK(sent.isStalled);
  // The group is back and all its members have reported.
  sent.RecordEvidence(std::nullopt, true);
  CHECK_FALSE(sent.isStalled);
}

TEST(attempt, GroupThatIsOnlyUnknownDoesNotStallTheAttempt)
{
  sent.RecordEvidence(std::nullopt, false);
  CHECK_FALSE(sent.isStalled);
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
