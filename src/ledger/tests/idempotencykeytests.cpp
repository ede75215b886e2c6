#include "ledger/idempotencykey.h"

#include "ledger/ledgerlayout.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::ledger;

// clang-format off
TEST_GROUP(idempotency_key)
{
  key_reason parseError;
};
// clang-format on

TEST(idempotency_key, Version7KeyContainsItsTimestamp)
{
  const auto key = ParseKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", parseError);
  CHECK(key.has_value());
  STRCMP_EQUAL("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", key->key.value.c_str());
  CHECK(key->createdAt == time_point{ 1645557742000 });
}

TEST(idempotency_key, QuotedKeyEqualsTheUnquotedKey)
{
  const auto quoted = ParseKey("\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\"", parseError);
  CHECK(quoted == ParseKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", parseError));
}

TEST(idempotency_key, OtherVersionsAndFormatsAreRejected)
{
  CHECK_FALSE(ParseKey("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", parseError).has_value());
  CHECK(parseError.code == key_error::not_version_7);
  CHECK_FALSE(ParseKey("017f22e2-79b0-7cc3-c8c4-dc0c0c07398f", parseError).has_value());
  CHECK(parseError.code == key_error::not_version_7);
  for (const char* text : { "",
                            "\"",
                            "017f22e279b07cc398c4dc0c0c07398f",
                            "correction-17",
                            "017f22e2-79b0-7cc3-98c4-dc0c0c07398",
                            "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
                            " 17f22e2-79b0-7cc3-98c4-dc0c0c07398f" }) {
    CHECK_FALSE(ParseKey(text, parseError).has_value());
    CHECK(parseError.code == key_error::not_a_uuid);
  }
}

TEST(idempotency_key, AcceptedBetweenTheMaximumAgeAndTheMaximumClockSkew)
{
  const time_point now{ 1645557742000 };
  const auto at = [](time_point aTime) { return parsed_key{ {}, aTime }; };
  CHECK(CheckKeyAge(at(now + kMaxClockSkew), now) == key_error::none);
  CHECK(CheckKeyAge(at(now + kMaxClockSkew + 1_ms), now) == key_error::in_future);
  CHECK(CheckKeyAge(at(now - kMaxKeyAge), now) == key_error::none);
  CHECK(CheckKeyAge(at(now - kMaxKeyAge - 1_ms), now) == key_error::too_old);
}

TEST(idempotency_key, RecordIdsOfCustomersAndServicesDiffer)
{
  const idempotency_key key{ "k" };
  CHECK(MakeRecordId(key, { "a" }, { "bc" }) != MakeRecordId(key, { "ab" }, { "c" }));
  CHECK(MakeRecordId(key, { "a" }, { "b" }) != MakeRecordId(key, { "a" }, { "c" }));
  CHECK(MakeRecordId(key, { "a" }, { "b" }) == MakeRecordId(key, { "a" }, { "b" }));
}
