#include "upstream/bodybudget.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::upstream;

namespace {

constexpr std::size_t kTotal = 1000U << 10U;

} // namespace

// clang-format off
TEST_GROUP(body_budget)
{
  body_budget budget{ kTotal };

  /// Adds pieces of a body until it may keep no more. Returns its size.
  std::size_t Fill()
  {
    constexpr std::size_t kPiece = 1024;
    std::size_t kept = 0;
    while (budget.TryAdd(kept, kPiece)) {
      kept += kPiece;
    }
    return kept;
  }
};
// clang-format on

TEST(body_budget, OneBodyKeepsHalfOfTheMemory)
{
  CHECK_EQUAL(kTotal / 2, Fill());
}

// Guards against bodies without end that leave no memory for the responses of other calls.
TEST(body_budget, EachCallMayKeepTheGuaranteedSize)
{
  for (int body = 0; body < 100; ++body) {
    CHECK(Fill() >= kGuaranteedBodyBytes);
  }
  CHECK(budget.Used() <= kTotal + 100 * kGuaranteedBodyBytes);
}

TEST(body_budget, ReleasedMemoryIsFreeAgain)
{
  const std::size_t kept = Fill();
  budget.Release(kept);
  CHECK_EQUAL(0, budget.Used());
  CHECK_EQUAL(kept, Fill());
}

// Guards against what a call that has ended kept, and never gives back.
TEST(body_budget, WhatACallKeepsIsFreeOnceItIsDestroyed)
{
  const auto shared = std::make_shared<body_budget>(kTotal);
  {
    kept_bytes kept(shared);
    CHECK(kept.Resize(1000));
    CHECK(kept.Resize(300));
    CHECK_EQUAL(300, shared->Used());
    CHECK_FALSE(kept.Resize(kTotal + 1));
    CHECK_EQUAL(300, shared->Used());
  }
  CHECK_EQUAL(0, shared->Used());
}
