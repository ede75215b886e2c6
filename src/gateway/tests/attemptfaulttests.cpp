#include "gateway/attemptfault.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;
using fleet::fault_evidence;

// clang-format off
TEST_GROUP(attempt_fault)
{
  sent_group sentTo{ { "g" }, { 4 }, { 9 } };
  fleet::instance head;

  void setup() override
  {
    head.incarnationId = { 9 };
    head.membership = fleet::group_membership{ { "g" }, { 4 }, 0, fleet::member_phase::open };
  }

  bool Finds(std::optional<fault_evidence> aExpected, std::optional<fault_evidence> aMark = {})
  {
    return FindAttemptFault(sentTo, &head, aMark) == aExpected;
  }
};
// clang-format on

TEST(attempt_fault, MarkOfTheGroupCounts)
{
  CHECK(Finds(std::nullopt));
  CHECK(Finds(fault_evidence::silence, fault_evidence::silence));
  CHECK(Finds(fault_evidence::proof, fault_evidence::proof));
  CHECK(FindAttemptFault(sentTo, nullptr, fault_evidence::proof) == fault_evidence::proof);
}

// Guards against a call that is ended at a group that runs it: it was sent when the head served a
// later group already, of which this process did not know yet.
TEST(attempt_fault, LaterGroupOfTheHeadProvesNoLoss)
{
  head.membership->epoch = { 5 };
  CHECK(Finds(fault_evidence::silence));
  CHECK(Finds(fault_evidence::silence, fault_evidence::proof));
}

// Guards against the same with an incarnation that was recorded from an older copy of the entry, or
// from one that did not tell it.
TEST(attempt_fault, LaterIncarnationOfTheHeadProvesNoLoss)
{
  head.incarnationId = { 10 };
  CHECK(Finds(fault_evidence::silence));
  sentTo.headIncarnation = {};
  CHECK(Finds(fault_evidence::silence, fault_evidence::proof));
}
