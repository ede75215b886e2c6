#include "app/router/suspectboard.h"

#include "base/log.h"
#include "routing/routingevents.h"

#include <fmt/format.h>

namespace persimmon::router {
namespace {

void
LogNews(const std::vector<peers::suspect_request_message>& aNews)
{
  for (const peers::suspect_request_message& news : aNews) {
    const log_event& event = news.quarantined  ? routing::kRequestQuarantined
                             : news.deaths > 0 ? routing::kRequestSuspected
                                               : routing::kSuspectCleared;
    WriteLog(event,
             { { "fingerprint", fmt::format("{:016x}", news.fingerprint) },
               { "deaths", std::to_string(news.deaths) } });
  }
}

} // namespace

suspect_board::suspect_board(news_sink aSink)
  : mSink(std::move(aSink))
{
}

routing::poison_check
suspect_board::Check(std::uint64_t aFingerprint, time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  return mTracker.Check(aFingerprint, aNow);
}

std::vector<routing::upstream_id>
suspect_board::UpstreamsWithSuspects() const
{
  const std::lock_guard lock(mMutex);
  return mTracker.UpstreamsWithSuspects();
}

void
suspect_board::Started(const attempt_id& aAttempt,
                       std::uint64_t aFingerprint,
                       const routing::upstream_id& aUpstream,
                       time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTracker.RecordDispatch(aAttempt, aFingerprint, aUpstream, aNow);
}

void
suspect_board::Completed(const attempt_id& aAttempt, time_point aNow)
{
  std::vector<peers::suspect_request_message> news;
  {
    const std::lock_guard lock(mMutex);
    news = mTracker.RecordCompletion(aAttempt, aNow);
  }
  LogNews(news);
  mSink(news);
}

void
suspect_board::Ended(const attempt_id& aAttempt)
{
  const std::lock_guard lock(mMutex);
  mTracker.RecordEnd(aAttempt);
}

void
suspect_board::Died(const routing::upstream_id& aUpstream, time_point aNow)
{
  std::vector<peers::suspect_request_message> news;
  {
    const std::lock_guard lock(mMutex);
    news = mTracker.RecordDeath(aUpstream, aNow);
  }
  LogNews(news);
  mSink(news);
}

void
suspect_board::Apply(const peers::suspect_request_message& aMessage, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTracker.Apply(aMessage, aNow);
}

void
suspect_board::Prune(time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTracker.Prune(aNow);
}

suspect_counts
suspect_board::Count(time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  suspect_counts counts;
  for (const peers::suspect_request_message& suspect : mTracker.Entries(aNow)) {
    counts.suspects += suspect.deaths > 0 ? 1 : 0;
    counts.quarantined += suspect.quarantined ? 1 : 0;
  }
  return counts;
}

} // namespace persimmon::router
