#include "poison/requestfingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::poison;

// clang-format off
TEST_GROUP(request_fingerprint)
{
  request_identity identity{ "a", "b", "POST", "/x", "c" };
};
// clang-format on

TEST(request_fingerprint, IsTheSameForTheSameRequest)
{
  CHECK(RequestFingerprint(identity) == RequestFingerprint({ "a", "b", "POST", "/x", "c" }));
}

TEST(request_fingerprint, DependsOnEachPart)
{
  const std::uint64_t fingerprint = RequestFingerprint(identity);
  CHECK(fingerprint != RequestFingerprint({ "z", "b", "POST", "/x", "c" }));
  CHECK(fingerprint != RequestFingerprint({ "a", "z", "POST", "/x", "c" }));
  CHECK(fingerprint != RequestFingerprint({ "a", "b", "PUT", "/x", "c" }));
  CHECK(fingerprint != RequestFingerprint({ "a", "b", "POST", "/x?q", "c" }));
  CHECK(fingerprint != RequestFingerprint({ "a", "b", "POST", "/x", "d" }));
}

TEST(request_fingerprint, DependsOnWherePartsBegin)
{
  CHECK(RequestFingerprint({ "ab", "", "", "", "c" }) !=
        RequestFingerprint({ "a", "b", "", "", "c" }));
}
