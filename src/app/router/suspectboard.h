#pragma once

#include "peers/messages.h"
#include "routing/poisontracker.h"

#include <functional>
#include <mutex>
#include <vector>

namespace persimmon::router {

/// How many requests are suspected, and how many of them are in quarantine.
struct suspect_counts
{
  std::size_t suspects = 0;
  std::size_t quarantined = 0;
};

/// The requests that are suspected of killing upstreams, under one lock. Every function may be
/// called from any thread.
class suspect_board
{
public:
  /// Takes news for other routers; called without the lock.
  using news_sink = std::function<void(const std::vector<peers::suspect_request_message>&)>;

  explicit suspect_board(news_sink aSink);

  [[nodiscard]] routing::poison_check Check(std::uint64_t aFingerprint, time_point aNow) const;
  /// Upstreams that a suspect must not be sent to.
  [[nodiscard]] std::vector<routing::upstream_id> UpstreamsWithSuspects() const;
  void Started(const attempt_id& aAttempt,
               std::uint64_t aFingerprint,
               const routing::upstream_id& aUpstream,
               time_point aNow);
  void Completed(const attempt_id& aAttempt, time_point aNow);
  void Ended(const attempt_id& aAttempt);
  void Died(const routing::upstream_id& aUpstream, time_point aNow);
  void Apply(const peers::suspect_request_message& aMessage, time_point aNow);
  void Prune(time_point aNow);
  [[nodiscard]] suspect_counts Count(time_point aNow) const;

private:
  news_sink mSink;
  mutable std::mutex mMutex;
  routing::poison_tracker mTracker;
};

} // namespace persimmon::router
