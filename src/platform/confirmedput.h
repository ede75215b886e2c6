#pragma once

#include "platform/objectstore.h"

namespace persimmon::platform {

enum class write_outcome
{
  /// The object holds the value, as of `version`.
  applied,
  /// Another write won; this one did not and never will take effect.
  conflict,
  /// The platform refused or could not be reached before acting; nothing was changed.
  not_written,
  /// It could not be found out whether the write took effect, or still will.
  unresolved
};

struct put_result
{
  write_outcome outcome = write_outcome::unresolved;
  /// Revision of the value that landed.
  revision version;
  store_failure failure;
};

namespace detail {

/// Tells whether the object holds the value now; an empty result means that it could not be read.
template<object_store Store>
std::optional<bool>
HoldsValue(Store& aStore, const object_key& aKey, const std::string& aValue, revision& aVersion)
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

/// Writes a value under a condition and finds out what became of it when the reply is lost. The
/// value must be unlike every other writer's, for example by a write id within it.
///
/// An object that still has its old revision is no proof that the write is lost, since it may be
/// on its way. It is settled by writing again under the same condition: at most one of the two
/// can be accepted, and whichever is carries the same value. When a third write is found in place
/// after a lost reply, the outcome stays unresolved: this write may have been accepted before it.
template<object_store Store>
put_result
PutConfirmed(Store& aStore,
             const object_key& aKey,
             const std::string& aValue,
             const write_condition& aCondition,
             int aTries)
{
  bool maybeOnItsWay = false;
  put_result result;
  for (int i = 0; i < aTries; ++i) {
    if (const auto written = aStore.Put(aKey, aValue, aCondition)) {
      return { write_outcome::applied, *written, {} };
    }
    result.failure = aStore.LastFailure();
    if (result.failure.code == store_error::unknown_outcome) {
      maybeOnItsWay = true;
      continue;
    }
    if (result.failure.code != store_error::conflict) {
      if (!maybeOnItsWay) {
        return { write_outcome::not_written, {}, result.failure };
      }
      continue;
    }
    revision version;
    const auto holds = detail::HoldsValue(aStore, aKey, aValue, version);
    if (holds && *holds) {
      return { write_outcome::applied, version, {} };
    }
    if (holds && !maybeOnItsWay) {
      return { write_outcome::conflict, version, result.failure };
    }
    // An earlier try may have taken effect and been replaced since, or the object cannot be read.
    if (holds) {
      return result;
    }
  }
  return result;
}

} // namespace persimmon::platform
