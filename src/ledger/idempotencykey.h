#pragma once

#include "base/clock.h"
#include "base/failurereason.h"
#include "base/ids.h"

#include <optional>
#include <string_view>

namespace persimmon::ledger {

/// A caller's Idempotency-Key that was found to be a UUIDv7.
struct parsed_key
{
  /// The key in lower case.
  idempotency_key key;
  /// Unix time that the key carries.
  time_point createdAt;

  bool operator==(const parsed_key&) const = default;
};

enum class key_error
{
  none,
  /// Not a UUID in the form 8-4-4-4-12 of hexadecimal digits.
  not_a_uuid,
  /// A UUID of another version or variant.
  not_version_7,
  /// Older than the ledger remembers.
  too_old,
  /// Its time lies ahead of this router's clock by more than the allowed skew.
  in_future
};

using key_reason = failure_reason<key_error>;

/// Parses a key. Quotes around it, as in a structured header field, are accepted.
std::optional<parsed_key>
ParseKey(std::string_view aText, key_reason& aReason);

/// Tells whether a key's time is within what the ledger accepts at a wall-clock time.
key_error
CheckKeyAge(const parsed_key& aKey, time_point aWallNow);

} // namespace persimmon::ledger
