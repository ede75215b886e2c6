#include "peers/internal/dialer.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

constexpr duration kFirstBackOff = 100_ms;
constexpr duration kLongestBackOff = 5_s;
constexpr int kMostDoublings = 6;

} // namespace

bool
dialer::MayDial(const endpoint& aAddress, time_point aNow) const
{
  const auto found = mTargets.find(aAddress);
  return found == mTargets.end() || (!found->second.dialling && aNow >= found->second.notBefore);
}

void
dialer::Dialled(const endpoint& aAddress)
{
  mTargets[aAddress].dialling = true;
}

void
dialer::Connected(const endpoint& aAddress)
{
  mTargets[aAddress] = {};
}

int
dialer::Failed(const endpoint& aAddress, time_point aNow, random_source& aRandom)
{
  target& entry = mTargets[aAddress];
  const int doublings = std::min(entry.failures, kMostDoublings);
  const duration span = std::min(kFirstBackOff * (1LL << doublings), kLongestBackOff);
  entry.dialling = false;
  ++entry.failures;
  const auto jitter =
    static_cast<std::int64_t>(static_cast<double>(span.ms) * aRandom.NextDouble());
  entry.notBefore = aNow + span / 2 + duration{ jitter };
  return entry.failures;
}

std::optional<endpoint>
dialer::Pick(const std::vector<endpoint>& aCandidates,
             time_point aNow,
             random_source& aRandom) const
{
  std::vector<endpoint> ready;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(ready),
               [&](const endpoint& aIt) { return MayDial(aIt, aNow); });
  if (ready.empty()) {
    return std::nullopt;
  }
  return ready[aRandom.Below(ready.size())];
}

} // namespace persimmon::peers
