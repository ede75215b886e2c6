#pragma once

#include <cstddef>

namespace persimmon {

/// Most levels of objects and arrays in a JSON text. Serialization and copying of a value recurse,
/// so that deeper input could overflow the stack.
constexpr std::size_t kMaxJsonLevels = 100;

} // namespace persimmon
