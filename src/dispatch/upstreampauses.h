#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <unordered_map>

namespace persimmon::dispatch {

/// Longest pause that is kept to. An upstream that states more is broken; it would get no call
/// until it restarts.
constexpr duration kMaxPause = 3600_s;

/// Pauses that upstreams have asked of this router: they want no calls from it for a time. Does no
/// I/O and reads no clock; not thread-safe.
class upstream_pauses
{
public:
  /// Records a pause of this incarnation. Of several pauses, the one that ends last counts.
  void Record(const instance_id& aUpstream,
              incarnation aIncarnation,
              duration aPause,
              time_point aNow);
  /// Returns the time until an upstream accepts calls again; empty when it does. A later
  /// incarnation than the one that was known when the pause was asked has none, unless it may have
  /// begun by then: it may be the one that asked.
  [[nodiscard]] std::optional<duration> Remaining(const instance_id& aUpstream,
                                                  incarnation aIncarnation,
                                                  time_point aMayHaveBegunAt,
                                                  time_point aNow) const;
  /// Forgets the pauses that have ended; call about once a second.
  void Prune(time_point aNow);
  /// Number of pauses that have not been forgotten.
  [[nodiscard]] std::size_t Count() const { return mPauses.size(); }

private:
  struct pause
  {
    incarnation incarnationId;
    time_point askedAt;
    time_point until;
  };

  std::unordered_map<instance_id, pause> mPauses;
};

} // namespace persimmon::dispatch
