#pragma once

#include <cstdint>
#include <string>

namespace persimmon {

/// A small seeded generator (splitmix64); the same seed gives the same sequence everywhere.
class random_source
{
public:
  explicit random_source(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  /// Returns 64 uniformly distributed bits.
  std::uint64_t Next();
  /// Returns a number in [0, aBound); aBound must not be 0.
  std::uint64_t Below(std::uint64_t aBound);
  /// Returns a number in [0, 1).
  double NextDouble();
  /// Returns true with the given probability.
  bool Chance(double aProbability) { return NextDouble() < aProbability; }
  /// Returns 16 hexadecimal digits.
  std::string NextHex();

private:
  std::uint64_t mState;
};

/// Returns a seed from the system's entropy, for processes that were given none.
std::uint64_t
EntropySeed();

} // namespace persimmon
