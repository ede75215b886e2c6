#pragma once

#include "base/clock.h"
#include "base/failurereason.h"
#include "base/ids.h"

#include <optional>
#include <string_view>

namespace persimmon::ledger {

/// A valid Idempotency-Key: a UUIDv7.
struct parsed_key
{
  /// The key in lower case, without quotes.
  idempotency_key key;
  /// Unix time encoded in the key.
  time_point createdAt;

  bool operator==(const parsed_key&) const = default;
};

/// Why a key is rejected.
enum class key_error
{
  none,
  /// Not a UUID in the 8-4-4-4-12 format of hexadecimal digits.
  not_a_uuid,
  /// A UUID of another version or variant.
  not_version_7,
  /// Older than kMaxKeyAge.
  too_old,
  /// Ahead of this router's wall clock by more than kMaxClockSkew.
  in_future
};

using key_reason = failure_reason<key_error>;

/// Parses a key. Accepts surrounding quotes, as in a structured header field. On failure, returns
/// an empty result and sets aReason.
std::optional<parsed_key>
ParseKey(std::string_view aText, key_reason& aReason);

/// Checks whether the ledger accepts the key's timestamp at the given wall-clock time; returns
/// none, too_old or in_future.
key_error
CheckKeyAge(const parsed_key& aKey, time_point aWallNow);

} // namespace persimmon::ledger
