#include "poison/suspicionarchive.h"

#include "poison/promptpartfingerprint.h"
#include "poison/promptparttable.h"
#include "poison/suspiciontable.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

constexpr time_point kNow{ 5000 };
constexpr time_point kWall{ 1'700'000'000'000 };
constexpr std::uint64_t kRequest = 0xfedcba9876543210;

suspicion_changes
Quarantined(std::uint64_t aFingerprint, std::uint32_t aCount = 1, bool aLifted = false)
{
  return { {}, { { aFingerprint, aCount, aLifted, {} } } };
}

} // namespace

// clang-format off
TEST_GROUP(suspicion_archive)
{
  suspicion_archive archive{ 0.5 };

  std::optional<archive_write> Next(const suspicion_changes& aEntries, bool aUrgent = true, time_point aNow = kNow)
  {
    return archive.NextWrite(aEntries, aUrgent, aNow, kWall);
  }
};
// clang-format on

TEST(suspicion_archive, WritesNothingBeforeTheObjectWasRead)
{
  CHECK_FALSE(Next(Quarantined(kRequest)));
  archive.OnRead("", std::nullopt, kWall);
  const auto write = Next(Quarantined(kRequest));
  CHECK(write && !write->expected);
}

TEST(suspicion_archive, ReadsWhatItWroteWithItsAge)
{
  archive.OnRead("", { { 4 } }, kWall);
  suspicion_changes entries = Quarantined(kRequest, 3);
  entries.quarantines[0].age = 7_s;
  entries.crashes.push_back({ kRequest, 5, kEarlyCrashWeight, true, false, 2_s });
  const auto write = Next(entries);
  CHECK(write->expected == revision{ 4 });
  suspicion_archive other{ 0 };
  const suspicion_changes read = other.OnRead(write->text, { { 5 } }, kWall + 10_s);
  entries.quarantines[0].age = 17_s;
  entries.crashes[0].age = 12_s;
  CHECK(read.quarantines == entries.quarantines);
  CHECK(read.crashes == entries.crashes);
}

TEST(suspicion_archive, WritesOnceAndAgainOnlyWhatIsNew)
{
  archive.OnRead("", std::nullopt, kWall);
  CHECK(Next(Quarantined(kRequest)).has_value());
  CHECK_FALSE(Next(Quarantined(kRequest)));
  archive.OnWritten({ 9 });
  CHECK_FALSE(Next(Quarantined(kRequest)));
  const auto lifted = Next(Quarantined(kRequest, 1, true));
  CHECK(lifted->expected == revision{ 9 });
}

// Guards against a fingerprint that is lost in a store that keeps numbers as floating point.
TEST(suspicion_archive, FingerprintsAreStoredAsText)
{
  archive.OnRead("", std::nullopt, kWall);
  suspicion_changes entries = Quarantined(kRequest);
  entries.crashes.push_back({ kRequest, kRequest + 1, kEarlyCrashWeight, true, false, {} });
  const auto write = Next(entries);
  CHECK(write->text.find("\"fingerprint\":\"fedcba9876543210\"") != std::string::npos);
  CHECK(write->text.find("\"crash\":\"fedcba9876543211\"") != std::string::npos);
}

// Guards against all processes writing at the same moment.
TEST(suspicion_archive, WaitsForOthersToWriteWhatTheyObserved)
{
  archive.OnRead("", std::nullopt, kWall);
  CHECK_FALSE(Next(Quarantined(kRequest), false));
  CHECK_FALSE(Next(Quarantined(kRequest), false, kNow + kMaxStoreDelay / 2 - 1_ms));
  const auto write = Next(Quarantined(kRequest), false, kNow + kMaxStoreDelay / 2);
  CHECK(write.has_value());
  archive.OnWriteFailed(kNow + 1_s);
  archive.OnRead(write->text, { { 7 } }, kWall);
  CHECK_FALSE(Next(Quarantined(kRequest), true, kNow + 60_s));
}

// Guards against a write that replaces what another process has added in the meantime.
// Guards against a quarantine that follows a stored crash at once and is stored seconds later:
// processes without peers go on sending the request until then.
TEST(suspicion_archive, ObservationDuringAWriteIsWrittenRightAfterIt)
{
  archive.OnRead("", { { 4 } }, kWall);
  CHECK(Next(Quarantined(1)).has_value());
  CHECK_FALSE(Next(Quarantined(2)));
  archive.OnWritten({ 5 });
  CHECK(Next(Quarantined(2), false).has_value());
}

TEST(suspicion_archive, ObservationDoesNotWaitForWhatOthersObservedBefore)
{
  archive.OnRead("", { { 4 } }, kWall);
  CHECK_FALSE(Next(Quarantined(1), false));
  CHECK(Next(Quarantined(2), true).has_value());
}

TEST(suspicion_archive, ConflictingWriteKeepsWhatOthersAdded)
{
  archive.OnRead("", std::nullopt, kWall);
  CHECK(Next(Quarantined(1)).has_value());
  archive.OnWriteFailed(kNow);
  suspicion_archive other{ 0 };
  other.OnRead("", std::nullopt, kWall);
  const auto theirs = other.NextWrite(Quarantined(2), true, kNow, kWall);
  archive.OnRead(theirs->text, { { 3 } }, kWall);
  const auto again = Next(Quarantined(1), true, kNow + kStoreRetryDelay);
  CHECK(again->expected == revision{ 3 });
  CHECK_EQUAL(2, other.OnRead(again->text, { { 4 } }, kWall).quarantines.size());
}

TEST(suspicion_archive, WritesAgainWhatAnOlderCopyOfTheStoreHasLost)
{
  archive.OnRead("", std::nullopt, kWall);
  Next(Quarantined(kRequest));
  archive.OnWritten({ 9 });
  archive.OnRead("", std::nullopt, kWall);
  const auto write = Next(Quarantined(kRequest));
  CHECK(write && !write->expected);
}

TEST(suspicion_archive, FailedWriteIsRetriedAfterAPause)
{
  archive.OnRead("", std::nullopt, kWall);
  CHECK(Next(Quarantined(kRequest)).has_value());
  archive.OnWriteFailed(kNow);
  CHECK_FALSE(Next(Quarantined(kRequest), true, kNow + kStoreRetryDelay - 1_ms));
  CHECK(Next(Quarantined(kRequest), true, kNow + kStoreRetryDelay).has_value());
}

TEST(suspicion_archive, DropsTheOldestAboveTheLimitAndThenWritesNoMore)
{
  archive.OnRead("", std::nullopt, kWall);
  suspicion_changes entries;
  for (std::uint64_t request = 1; request <= kMaxStored + 50; ++request) {
    entries.quarantines.push_back(
      { request, 1, false, { static_cast<std::int64_t>(request) * 10 } });
  }
  const auto write = Next(entries);
  suspicion_archive other{ 0 };
  const auto read = other.OnRead(write->text, { { 1 } }, kWall);
  CHECK_EQUAL(kMaxStored, read.quarantines.size());
  CHECK_EQUAL(1, read.quarantines.front().fingerprint);
  archive.OnWritten({ 1 });
  CHECK_FALSE(Next(entries, true, kNow + 60_s));
}

TEST(suspicion_archive, ExpiredRecordsAreDroppedByTheNextWrite)
{
  archive.OnRead("", std::nullopt, kWall);
  Next(Quarantined(1));
  archive.OnWritten({ 1 });
  const time_point later = kWall + QuarantineLifetime(1) + kQuarantineMemory;
  const auto write = archive.NextWrite(Quarantined(2), true, kNow, later);
  suspicion_archive other{ 0 };
  CHECK_EQUAL(1, other.OnRead(write->text, { { 2 } }, later).quarantines.size());
}

TEST(suspicion_archive, MalformedObjectCountsAsEmpty)
{
  for (const char* text : { "", "[]", "{\"quarantines\":3}", "{\"crashes\":[1,{\"at\":\"x\"}]}" }) {
    const auto read = archive.OnRead(text, { { 1 } }, kWall);
    CHECK(read.quarantines.empty());
  }
  CHECK(Next(Quarantined(kRequest)).has_value());
}

TEST(suspicion_archive, RecordFromAClockAheadCountsAsNew)
{
  archive.OnRead("", std::nullopt, kWall);
  const auto write = Next(Quarantined(kRequest));
  suspicion_archive other{ 0 };
  CHECK(other.OnRead(write->text, { { 1 } }, kWall - 30_s).quarantines.at(0).age == duration{});
}

// Guards against made-up parts of prompts that push the quarantines of requests out of the store.
TEST(suspicion_archive, PartsOfPromptsDisplaceNoRequests)
{
  archive.OnRead("", std::nullopt, kWall);
  suspicion_changes entries;
  for (std::uint64_t number = 1; number <= kMaxStored; ++number) {
    entries.Append(Quarantined(number));
    entries.quarantines.back().age = 100_s;
  }
  std::vector<prompt_part_id> parts;
  for (std::uint64_t number = 0; number < 1000; ++number) {
    parts.push_back({ number });
  }
  for (const std::uint64_t fingerprint : PromptPartFingerprints({ "s" }, "m", parts)) {
    entries.Append(Quarantined(fingerprint));
  }
  const auto write = Next(entries);
  suspicion_archive other{ 0 };
  std::size_t storedParts = 0;
  const auto stored = other.OnRead(write->text, { { 1 } }, kWall).quarantines;
  for (const auto& quarantine : stored) {
    storedParts += IsPromptPart(quarantine.fingerprint) ? 1 : 0;
  }
  CHECK_EQUAL(kMaxLastingParts, storedParts);
  CHECK_EQUAL(kMaxStored + kMaxLastingParts, stored.size());
}
