#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace persimmon {

/// Returns the 64-bit xxHash of a text; the same on every machine.
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// Returns the weight of a candidate for a key in rendezvous hashing; the highest weight wins.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

/// Returns the lower-case hexadecimal SHA-256 of a text.
std::string
Sha256Hex(std::string_view aText);

} // namespace persimmon
