#include "peers/internal/dialer.h"

#include <algorithm>

namespace persimmon::peers {
namespace {

constexpr duration kInitialBackOff = 100_ms;
constexpr duration kMaxBackOff = 5_s;
constexpr int kMaxDoublings = 6;

} // namespace

bool
dialer::MayDial(const endpoint& aAddress, time_point aNow) const
{
  const auto found = mAddresses.find(aAddress);
  return found == mAddresses.end() ||
         (!found->second.inProgress && aNow >= found->second.notBefore);
}

void
dialer::OnDialStarted(const endpoint& aAddress)
{
  mAddresses[aAddress].inProgress = true;
}

void
dialer::OnConnected(const endpoint& aAddress)
{
  mAddresses[aAddress] = {};
}

int
dialer::OnFailed(const endpoint& aAddress, time_point aNow, random_source& aRandom)
{
  address_state& entry = mAddresses[aAddress];
  const int doublings = std::min(entry.failures, kMaxDoublings);
  const duration backOff = std::min(kInitialBackOff * (1LL << doublings), kMaxBackOff);
  entry.inProgress = false;
  ++entry.failures;
  const auto jitter =
    static_cast<std::int64_t>(static_cast<double>(backOff.ms) * aRandom.NextDouble());
  entry.notBefore = aNow + backOff / 2 + duration{ jitter };
  return entry.failures;
}

std::optional<endpoint>
dialer::PickRandom(const std::vector<endpoint>& aCandidates,
                   time_point aNow,
                   random_source& aRandom) const
{
  std::vector<endpoint> ready;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(ready),
               [&](const endpoint& aValue) { return MayDial(aValue, aNow); });
  if (ready.empty()) {
    return std::nullopt;
  }
  return ready[aRandom.Below(ready.size())];
}

} // namespace persimmon::peers
