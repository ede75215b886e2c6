#include "base/hash.h"
#include "base/random.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

// clang-format off
TEST_GROUP(random){};
// clang-format on

TEST(random, SameSeedGivesSameSequence)
{
  random_source first(42);
  random_source second(42);
  for (int i = 0; i < 100; ++i) {
    CHECK(first.Next() == second.Next());
  }
}

TEST(random, NextDoubleIsAtLeastZeroAndBelowOne)
{
  random_source source(1);
  for (int i = 0; i < 1000; ++i) {
    const double value = source.NextDouble();
    CHECK(value >= 0.0 && value < 1.0);
  }
}

TEST(random, Sha256MatchesPublishedTestVector)
{
  STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
               Sha256Hex("abc").c_str());
}
