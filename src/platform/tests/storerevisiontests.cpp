#include "platform/storerevision.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

// clang-format off
TEST_GROUP(store_revision)
{
};
// clang-format on

TEST(store_revision, LaterEraComesAfterTheHighestCounterOfAnEarlierOne)
{
  CHECK(*MakeRevision({ 1 }, kMaxCounter) < *MakeRevision({ 2 }, 0));
  CHECK(*MakeRevision({ 1 }, 5) < *MakeRevision({ 1 }, 6));
}

TEST(store_revision, EraAndCounterAreFoundAgain)
{
  const revision made = *MakeRevision({ kMaxEra }, kMaxCounter);
  CHECK_EQUAL(kMaxEra, EraOf(made).value);
  CHECK_EQUAL(kMaxCounter, CounterOf(made));
  CHECK(*MakeRevision({ 0 }, 7) == revision{ 7 });
}

TEST(store_revision, OutOfRangeIsNoRevision)
{
  CHECK_FALSE(MakeRevision({ kMaxEra + 1 }, 0).has_value());
  CHECK_FALSE(MakeRevision({ 0 }, kMaxCounter + 1).has_value());
}

TEST(store_revision, TextNamesTheEraOnlyWhenThereIsOne)
{
  STRCMP_EQUAL("7", RevisionText(*MakeRevision({ 0 }, 7)).c_str());
  STRCMP_EQUAL("3/7", RevisionText(*MakeRevision({ 3 }, 7)).c_str());
}
