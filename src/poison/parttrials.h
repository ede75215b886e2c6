#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace persimmon::poison {

/// Time from the first refusal for a part until a request with it is tried, which covers an outage
/// of some seconds.
constexpr duration kFirstTrialDelay = 5_s;
/// Factor by which each further pause between trials is longer than the one before.
constexpr std::int64_t kTrialDelayGrowth = 4;
/// Time from when a trial is due for which it is kept for a request without another part that may
/// be the harmful one. Not longer: all requests may have several.
constexpr duration kAloneTime = 5_s;
/// Time for which a request that may be tried keeps others from it until it is sent.
constexpr duration kTrialGrant = 1_s;
/// Time after the last trial for which a part's trials are remembered, longer than the first
/// pauses.
constexpr duration kTrialMemory = 3600_s;
/// Most parts whose trials are remembered; no others are tried then.
constexpr std::size_t kMaxTriedParts = 256;

/// Lets single requests with a part in quarantine through, one at a time and ever more rarely, so
/// that a part that is refused wrongly, in an outage of all upstreams for example, doesn't stay so.
/// Does no I/O and reads no clock.
class part_trials
{
public:
  /// Returns whether a request with a part in quarantine may be sent. At most one request at a time
  /// may, and it may until it ends. aAlone is false for a request with other suspect parts.
  bool Admits(std::uint64_t aPart, std::uint64_t aRequest, bool aAlone, time_point aNow);
  /// Records that a request was sent.
  void OnDispatch(std::uint64_t aPart, std::uint64_t aRequest, time_point aNow);
  /// Records that a request that was sent was lost or ended otherwise: it may not be sent again.
  void OnEnd(std::uint64_t aPart, std::uint64_t aRequest);
  /// Forgets the trials of a part that is sound.
  void OnSound(std::uint64_t aPart) { mTrials.erase(aPart); }
  void Prune(time_point aNow);

private:
  struct trial
  {
    /// Fingerprint of the request that may be sent; meaningless before grantedUntil is set.
    std::uint64_t request = 0;
    /// Time until which no other request may be tried.
    time_point grantedUntil{ INT64_MIN / 2 };
    /// The request was sent and has not ended.
    bool running = false;
    duration pause = kFirstTrialDelay;
    time_point nextAt;
  };

  std::unordered_map<std::uint64_t, trial> mTrials;
};

} // namespace persimmon::poison
