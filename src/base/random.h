#pragma once

#include <cstdint>
#include <string>

namespace persimmon {

/// A pseudo-random number generator (splitmix64). The same seed gives the same sequence on every
/// platform. Not for cryptographic use.
class random_source
{
public:
  explicit random_source(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  /// Returns 64 uniformly distributed bits.
  std::uint64_t Next();
  /// Returns an integer in [0, aBound); aBound must not be 0.
  std::uint64_t Below(std::uint64_t aBound);
  /// Returns a uniformly distributed number in [0, 1).
  double NextDouble();
  /// Returns true with the given probability.
  bool Chance(double aProbability) { return NextDouble() < aProbability; }
  /// Returns 64 random bits as 16 hexadecimal digits.
  std::string NextHex();

private:
  std::uint64_t mState;
};

/// Returns a seed from the system's entropy source, for processes without a configured seed.
std::uint64_t
EntropySeed();

} // namespace persimmon
