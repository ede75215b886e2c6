#pragma once

#include "poison/poisontracker.h"

#include <functional>
#include <mutex>
#include <vector>

namespace persimmon::router {

/// The requests that are suspected of killing upstreams, under one lock. Every function may be
/// called from any thread.
class suspect_board
{
public:
  /// Takes news for other routers; called without the lock.
  using news_sink = std::function<void(const poison::suspicion_changes&)>;

  explicit suspect_board(news_sink aSink);

  [[nodiscard]] poison::poison_check Check(std::uint64_t aFingerprint, time_point aNow) const;
  /// Upstreams that a suspect must not be sent to.
  [[nodiscard]] std::vector<upstream_id> UpstreamsWithSuspects() const;
  void Started(const poison::dispatched_request& aRequest, time_point aNow);
  void Completed(const attempt_id& aAttempt, time_point aNow);
  void Ended(const attempt_id& aAttempt);
  void Died(const upstream_id& aUpstream, time_point aNow);
  void Apply(const poison::suspicion_changes& aMessages, time_point aNow);
  void Prune(time_point aNow);
  [[nodiscard]] poison::suspicion_counts Count(time_point aNow) const;

private:
  /// Logs changes and passes them to the sink; call without the lock.
  void Announce(const poison::suspicion_changes& aChanges) const;

  news_sink mSink;
  mutable std::mutex mMutex;
  poison::poison_tracker mTracker;
};

} // namespace persimmon::router
