#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::platform {

/// Counts how often the store came back from an older copy of itself. Within an era the store's
/// counter of writes only grows; a later era may give the same counts again.
using store_era = number_id<struct store_era_tag>;

/// Bits of a revision that hold the store's counter of writes; the bits above hold the era.
constexpr unsigned kCounterBits = 44;
constexpr std::uint64_t kMaxCounter = (std::uint64_t{ 1 } << kCounterBits) - 1;
constexpr std::uint64_t kMaxEra = (std::uint64_t{ 1 } << (64 - kCounterBits)) - 1;

/// Returns the revision of a write, which orders it after all writes of earlier eras; nothing when
/// the era or the counter is out of range.
constexpr std::optional<revision>
MakeRevision(store_era aEra, std::uint64_t aCounter)
{
  if (aEra.value > kMaxEra || aCounter > kMaxCounter) {
    return std::nullopt;
  }
  return revision{ (aEra.value << kCounterBits) | aCounter };
}

/// Returns the era in which a revision was given out.
constexpr store_era
EraOf(revision aRevision)
{
  return { aRevision.value >> kCounterBits };
}

/// Returns the store's counter of writes at a revision.
constexpr std::uint64_t
CounterOf(revision aRevision)
{
  return aRevision.value & kMaxCounter;
}

/// Returns a revision for logs: `ERA/COUNTER`, or the counter alone in era 0.
inline std::string
RevisionText(revision aRevision)
{
  const std::string counter = std::to_string(CounterOf(aRevision));
  const std::uint64_t era = EraOf(aRevision).value;
  return era == 0 ? counter : std::to_string(era) + "/" + counter;
}

} // namespace persimmon::platform
