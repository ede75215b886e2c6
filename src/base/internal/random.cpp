#include "base/random.h"

#include <fmt/format.h>
#include <random>

namespace persimmon {

std::uint64_t
random_source::Next()
{
  mState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = mState;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t
random_source::Below(std::uint64_t aBound)
{
  return Next() % aBound;
}

double
random_source::NextDouble()
{
  constexpr int kMantissaBits = 53;
  return static_cast<double>(Next() >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

std::string
random_source::NextHex()
{
  return fmt::format("{:016x}", Next());
}

std::uint64_t
EntropySeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace persimmon
