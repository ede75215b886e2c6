#pragma once

#include "platform/objectstore.h"

namespace persimmon::platform {

/// Outcome of PutConfirmed().
enum class write_outcome
{
  /// The write took effect as revision `version`.
  applied,
  /// The condition did not hold. The write did not take effect and never will.
  conflict,
  /// The platform refused the write or could not be reached; nothing was changed.
  not_written,
  /// Whether the write took effect, or still will, could not be determined.
  unresolved
};

/// Result of PutConfirmed().
struct put_result
{
  write_outcome outcome = write_outcome::unresolved;
  /// Revision of the written value when it was applied; the current revision after a conflict.
  revision version;
  /// Why the last try failed; empty when the write was applied.
  store_failure failure;
};

namespace detail {

/// Returns whether the object currently has the value, and sets aVersion to its revision; nothing
/// when the object could not be read.
template<object_store Store>
std::optional<bool>
HasValue(Store& aStore, const object_key& aKey, const std::string& aValue, revision& aVersion)
{
  const auto current = aStore.Get(aKey);
  if (!current) {
    return aStore.LastFailure().code == store_error::not_found ? std::optional(false)
                                                               : std::nullopt;
  }
  aVersion = current->version;
  return current->value == aValue;
}

} // namespace detail

/// Writes a value under a condition and, when the response is lost, determines whether the write
/// took effect. The value must differ from those of all other writers, for example by a write id
/// within it.
///
/// An object that still has its old revision does not prove that the write failed, since the write
/// may be in flight. Repeating the write under the same condition resolves this: at most one of the
/// two is accepted, and both carry the same value. When the object has another writer's value after
/// a lost response, the outcome stays unresolved: this write may have been accepted before the
/// other one.
template<object_store Store>
put_result
PutConfirmed(Store& aStore,
             const object_key& aKey,
             const std::string& aValue,
             const write_condition& aCondition,
             int aMaxTries)
{
  bool maybeInFlight = false;
  put_result result;
  for (int i = 0; i < aMaxTries; ++i) {
    if (const auto written = aStore.Put(aKey, aValue, aCondition)) {
      return { write_outcome::applied, *written, {} };
    }
    result.failure = aStore.LastFailure();
    if (result.failure.code == store_error::unknown_outcome) {
      maybeInFlight = true;
      continue;
    }
    if (result.failure.code != store_error::conflict) {
      if (!maybeInFlight) {
        return { write_outcome::not_written, {}, result.failure };
      }
      continue;
    }
    revision version;
    const auto hasValue = detail::HasValue(aStore, aKey, aValue, version);
    if (hasValue && *hasValue) {
      return { write_outcome::applied, version, {} };
    }
    if (hasValue && !maybeInFlight) {
      return { write_outcome::conflict, version, result.failure };
    }
    // An earlier try may have taken effect and been overwritten since. An object that could not be
    // read leads to another try.
    if (hasValue) {
      return result;
    }
  }
  return result;
}

} // namespace persimmon::platform
