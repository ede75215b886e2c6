#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmon::peers {

/// Limits when an address may be dialled, by exponential backoff with jitter per address.
class dialer
{
public:
  /// Returns whether an address may be dialled now: no dial is in progress and its backoff is over.
  [[nodiscard]] bool MayDial(const endpoint& aAddress, time_point aNow) const;
  /// Records that a dial has started.
  void OnDialStarted(const endpoint& aAddress);
  /// Records a successful dial and resets the backoff.
  void OnConnected(const endpoint& aAddress);
  /// Records a failed dial and returns the number of consecutive failures.
  int OnFailed(const endpoint& aAddress, time_point aNow, random_source& aRandom);
  /// Returns a random candidate that may be dialled; empty if there is none.
  [[nodiscard]] std::optional<endpoint> PickRandom(const std::vector<endpoint>& aCandidates,
                                                   time_point aNow,
                                                   random_source& aRandom) const;
  void Forget(const endpoint& aAddress) { mAddresses.erase(aAddress); }

private:
  struct address_state
  {
    int failures = 0;
    bool inProgress = false;
    time_point notBefore;
  };

  std::map<endpoint, address_state> mAddresses;
};

} // namespace persimmon::peers
