#include "poison/promptpartfingerprint.h"
#include "poison/requestfingerprint.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace persimmon;
using namespace persimmon::poison;

// clang-format off
TEST_GROUP(prompt_part_fingerprint)
{
  static std::uint64_t One(const char* aService, const char* aModel, std::uint64_t aPart)
  {
    return PromptPartFingerprints({ aService }, aModel, { { aPart } }).at(0);
  }
};
// clang-format on

TEST(prompt_part_fingerprint, DependsOnServiceModelAndPart)
{
  const std::uint64_t fingerprint = One("s", "m", 1);
  CHECK(fingerprint == One("s", "m", 1));
  CHECK(fingerprint != One("t", "m", 1));
  CHECK(fingerprint != One("s", "n", 1));
  CHECK(fingerprint != One("s", "m", 2));
  CHECK(fingerprint != One("s", "m", 1ULL << 32U));
  CHECK(One("sm", "", 1) != One("s", "m", 1));
}

TEST(prompt_part_fingerprint, OrderIsKeptAndRepetitionsAreDropped)
{
  const auto fingerprints = PromptPartFingerprints({ "s" }, "m", { { 3 }, { 1 }, { 3 }, { 2 } });
  CHECK_EQUAL(3, fingerprints.size());
  CHECK(fingerprints.at(0) == One("s", "m", 3));
  CHECK(fingerprints.at(2) == One("s", "m", 2));
  CHECK(PromptPartFingerprints({ "s" }, "m", {}).empty());
}

// Guards against a request that is taken for a part of a prompt in messages and in the store.
TEST(prompt_part_fingerprint, NoRequestHasTheFingerprintOfAPart)
{
  for (std::uint64_t number = 0; number < 300000; ++number) {
    const std::string body = std::to_string(number);
    CHECK_FALSE(IsPromptPart(RequestFingerprint({ {}, "c", "POST", "/", body })));
  }
  CHECK(IsPromptPart(One("s", "m", 1)));
  CHECK_FALSE(IsPromptPart(WithoutPromptPartTag(One("s", "m", 1))));
  CHECK(WithoutPromptPartTag(7) == 7);
}
