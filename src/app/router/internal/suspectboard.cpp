#include "app/router/suspectboard.h"

#include "poison/suspicionlog.h"

namespace persimmon::router {

suspect_board::suspect_board(news_sink aSink)
  : mSink(std::move(aSink))
{
}

poison::poison_check
suspect_board::Check(std::uint64_t aFingerprint, time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  return mTracker.Check(aFingerprint, aNow);
}

std::vector<upstream_id>
suspect_board::UpstreamsWithSuspects() const
{
  const std::lock_guard lock(mMutex);
  return mTracker.UpstreamsWithSuspects();
}

void
suspect_board::Announce(const poison::suspicion_changes& aChanges) const
{
  poison::LogChanges(aChanges);
  mSink(aChanges);
}

void
suspect_board::Started(const poison::dispatched_request& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTracker.RecordDispatch(aRequest, aNow);
}

void
suspect_board::Completed(const attempt_id& aAttempt, time_point aNow)
{
  poison::suspicion_changes changes;
  {
    const std::lock_guard lock(mMutex);
    changes = mTracker.RecordCompletion(aAttempt, aNow);
  }
  Announce(changes);
}

void
suspect_board::Ended(const attempt_id& aAttempt)
{
  const std::lock_guard lock(mMutex);
  mTracker.RecordEnd(aAttempt);
}

void
suspect_board::Died(const upstream_id& aUpstream, time_point aNow)
{
  poison::suspicion_changes changes;
  {
    const std::lock_guard lock(mMutex);
    changes = mTracker.RecordCrash(aUpstream, aNow);
  }
  Announce(changes);
}

void
suspect_board::Apply(const poison::suspicion_changes& aMessages, time_point aNow)
{
  poison::suspicion_changes changes;
  {
    const std::lock_guard lock(mMutex);
    changes = mTracker.Apply(aMessages, aNow);
  }
  Announce(changes);
}

void
suspect_board::Prune(time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mTracker.Prune(aNow);
}

poison::suspicion_counts
suspect_board::Count(time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  return mTracker.Count(aNow);
}

} // namespace persimmon::router
