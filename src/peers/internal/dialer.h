#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmon::peers {

/// Decides when to dial which address, with a back-off that doubles and is spread by chance.
class dialer
{
public:
  /// Tells whether an address may be dialled now.
  [[nodiscard]] bool MayDial(const endpoint& aAddress, time_point aNow) const;
  void Dialled(const endpoint& aAddress);
  void Connected(const endpoint& aAddress);
  /// Notes a failure and returns how many there were in a row.
  int Failed(const endpoint& aAddress, time_point aNow, random_source& aRandom);
  /// Returns one of the candidates that may be dialled, by chance.
  [[nodiscard]] std::optional<endpoint> Pick(const std::vector<endpoint>& aCandidates,
                                             time_point aNow,
                                             random_source& aRandom) const;
  void Forget(const endpoint& aAddress) { mTargets.erase(aAddress); }

private:
  struct target
  {
    int failures = 0;
    bool dialling = false;
    time_point notBefore;
  };

  std::map<endpoint, target> mTargets;
};

} // namespace persimmon::peers
