#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace persimmon {

/// Returns the 64-bit xxHash (XXH64) of a string; the same on every machine.
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// Returns the weight of a candidate for a key in rendezvous hashing; the key is assigned to the
/// candidate with the highest weight.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

/// Returns the SHA-256 digest of a string as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aText);

} // namespace persimmon
