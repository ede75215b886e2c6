#include "ledger/idempotencykey.h"

#include "ledger/ledgerlayout.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace persimmon::ledger {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::array<std::size_t, 4> kHyphens = { 8, 13, 18, 23 };
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
  return std::find(kHyphens.begin(), kHyphens.end(), aPosition) != kHyphens.end();
}

bool
HasUuidForm(std::string_view aText)
{
  if (aText.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool fits = IsHyphenPosition(i) ? aText[i] == '-' : IsHex(aText[i]);
    if (!fits) {
      return false;
    }
  }
  return true;
}

bool
IsVersion7(std::string_view aUuid)
{
  const char variant = aUuid[kVariantPosition];
  const bool standard = variant == '8' || variant == '9' || variant == 'a' || variant == 'b';
  return aUuid[kVersionPosition] == '7' && standard;
}

/// The first 48 bits of a UUIDv7 are Unix milliseconds.
time_point
TimeOf(std::string_view aUuid)
{
  constexpr int kHex = 16;
  const std::string digits = std::string(aUuid.substr(0, 8)) + std::string(aUuid.substr(9, 4));
  time_point time;
  std::from_chars(digits.data(), digits.data() + digits.size(), time.ms, kHex);
  return time;
}

} // namespace

std::optional<parsed_key>
ParseKey(std::string_view aText, key_reason& aReason)
{
  std::string uuid(Unquoted(aText));
  std::transform(uuid.begin(), uuid.end(), uuid.begin(), LowerHex);
  if (!HasUuidForm(uuid)) {
    aReason = { key_error::not_a_uuid,
                "expected a UUID such as 01890a5d-ac96-774b-bcce-b302099a8057" };
    return std::nullopt;
  }
  if (!IsVersion7(uuid)) {
    aReason = { key_error::not_version_7, "expected a UUID of version 7, which carries its time" };
    return std::nullopt;
  }
  return parsed_key{ { uuid }, TimeOf(uuid) };
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
