#include "ledger/idempotencykey.h"

#include "ledger/ledgerlayout.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace persimmon::ledger {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::array<std::size_t, 4> kHyphenPositions = { 8, 13, 18, 23 };
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;

std::string_view
Unquoted(std::string_view aText)
{
  const bool quoted = aText.size() >= 2 && aText.front() == '"' && aText.back() == '"';
  return quoted ? aText.substr(1, aText.size() - 2) : aText;
}

char
LowerHex(char aDigit)
{
  const bool upper = aDigit >= 'A' && aDigit <= 'F';
  return upper ? static_cast<char>(aDigit - 'A' + 'a') : aDigit;
}

bool
IsHex(char aDigit)
{
  return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
}

bool
IsHyphenPosition(std::size_t aPosition)
{
  return std::find(kHyphenPositions.begin(), kHyphenPositions.end(), aPosition) !=
         kHyphenPositions.end();
}

bool
HasUuidFormat(std::string_view aText)
{
  if (aText.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool matches = IsHyphenPosition(i) ? aText[i] == '-' : IsHex(aText[i]);
    if (!matches) {
      return false;
    }
  }
  return true;
}

bool
IsVersion7(std::string_view aUuid)
{
  const char variant = aUuid[kVariantPosition];
  const bool rfcVariant = variant == '8' || variant == '9' || variant == 'a' || variant == 'b';
  return aUuid[kVersionPosition] == '7' && rfcVariant;
}

/// Returns the timestamp of a UUIDv7: its first 48 bits are Unix time in milliseconds.
time_point
TimestampOf(std::string_view aUuid)
{
  constexpr int kHexBase = 16;
  const std::string digits = std::string(aUuid.substr(0, 8)) + std::string(aUuid.substr(9, 4));
  time_point time;
  std::from_chars(digits.data(), digits.data() + digits.size(), time.ms, kHexBase);
  return time;
}

} // namespace

std::optional<parsed_key>
ParseKey(std::string_view aText, key_reason& aReason)
{
  std::string uuid(Unquoted(aText));
  std::transform(uuid.begin(), uuid.end(), uuid.begin(), LowerHex);
  if (!HasUuidFormat(uuid)) {
    aReason = { key_error::not_a_uuid,
                "expected a UUID such as 01890a5d-ac96-774b-bcce-b302099a8057" };
    return std::nullopt;
  }
  if (!IsVersion7(uuid)) {
    aReason = { key_error::not_version_7,
                "expected a UUID of version 7, which contains a timestamp" };
    return std::nullopt;
  }
  return parsed_key{ { uuid }, TimestampOf(uuid) };
}

key_error
CheckKeyAge(const parsed_key& aKey, time_point aWallNow)
{
  if (aKey.createdAt > aWallNow + kMaxClockSkew) {
    return key_error::in_future;
  }
  return aWallNow - aKey.createdAt > kMaxKeyAge ? key_error::too_old : key_error::none;
}

} // namespace persimmon::ledger
