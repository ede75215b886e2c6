#include "poison/poisontracker.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace persimmon::poison {
namespace {

constexpr std::size_t kMaxRecentCrashes = 64;
/// Weight from which a request that alone explains a crash is quarantined: two early crashes.
constexpr std::uint32_t kCulpritWeight = 2 * kEarlyCrashWeight;

} // namespace

poison_check
poison_tracker::Check(std::uint64_t aFingerprint, time_point aNow) const
{
  return mTable.Check(aFingerprint, aNow);
}

std::vector<upstream_id>
poison_tracker::UpstreamsWithSuspects() const
{
  std::vector<upstream_id> result;
  for (const auto& [attempt, running] : mRunning) {
    if (running.suspect) {
      result.push_back(running.request.upstream);
    }
  }
  return result;
}

std::vector<upstream_id>
poison_tracker::UpstreamsClosedToSuspects(const std::vector<upstream_id>& aAll,
                                          const router_id& aSelf,
                                          const std::vector<router_id>& aRouters) const
{
  std::vector<upstream_id> withSuspects = UpstreamsWithSuspects();
  std::vector<upstream_id> closed;
  for (const upstream_id& upstream : aAll) {
    const bool runsSuspect =
      std::find(withSuspects.begin(), withSuspects.end(), upstream) != withSuspects.end();
    const std::uint64_t ownWeight = RendezvousWeight(upstream.value, aSelf.value);
    const bool assignedElsewhere =
      std::any_of(aRouters.begin(), aRouters.end(), [&](const auto& aRouter) {
        return RendezvousWeight(upstream.value, aRouter.value) > ownWeight;
      });
    if (runsSuspect || assignedElsewhere) {
      closed.push_back(upstream);
    }
  }
  return closed.size() < aAll.size() ? closed : withSuspects;
}

void
poison_tracker::RecordDispatch(const dispatched_request& aRequest, time_point aNow)
{
  running_attempt started;
  started.request = aRequest;
  started.suspect = Check(aRequest.fingerprint, aNow).verdict == poison_verdict::isolate;
  mRunning[aRequest.attempt] = std::move(started);
}

void
poison_tracker::RecordFirstResponse(const attempt_id& aAttempt, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found != mRunning.end() && !found->second.hasResponse) {
    found->second.hasResponse = true;
    found->second.firstResponseAt = aNow;
  }
}

suspicion_changes
poison_tracker::RecordLoss(const attempt_id& aAttempt, loss_kind aKind, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found == mRunning.end()) {
    return {};
  }
  running_attempt& lost = found->second;
  lost.lostAt = aNow;
  lost.lossKind = aKind;
  const bool countsAtOnce = aKind == loss_kind::broken_off || aKind == loss_kind::unanswered ||
                            aKind == loss_kind::unanswered_lapsed;
  if (!countsAtOnce || mTable.RanToItsEnd(lost.request.fingerprint, aNow)) {
    return {};
  }
  const std::uint32_t weight =
    aKind == loss_kind::unanswered ? kLateCrashWeight : CrashWeight(lost, aNow);
  return AddCrash({ lost.request.fingerprint, CrashOf(lost.request), weight }, false, aNow);
}

void
poison_tracker::RecordEnd(const attempt_id& aAttempt)
{
  mRunning.erase(aAttempt);
}

suspicion_changes
poison_tracker::RecordCompletion(const attempt_id& aAttempt, time_point aNow)
{
  const auto found = mRunning.find(aAttempt);
  if (found == mRunning.end()) {
    return {};
  }
  const std::uint64_t fingerprint = found->second.request.fingerprint;
  RecordEnd(aAttempt);
  return mTable.Clear(fingerprint, aNow);
}

std::uint64_t
poison_tracker::CrashOf(const dispatched_request& aRequest)
{
  return HashText(aRequest.upstream.value, aRequest.upstreamRun);
}

std::uint32_t
poison_tracker::CrashWeight(const running_attempt& aAttempt, time_point aNow)
{
  const time_point lostAt = aAttempt.lostAt.value_or(aNow);
  const bool early = !aAttempt.hasResponse || lostAt - aAttempt.firstResponseAt <= kEarlyCrashTime;
  const bool certain = aAttempt.lossKind != loss_kind::perhaps_stalled_before;
  return early && certain ? kEarlyCrashWeight : kLateCrashWeight;
}

std::vector<poison_tracker::crashed_request>
poison_tracker::TakeInFlight(const upstream_id& aUpstream, time_point aNow)
{
  // Crashes are rare: a search of all attempts costs less than an index updated at each dispatch.
  std::vector<crashed_request> inFlight;
  for (auto current = mRunning.begin(); current != mRunning.end();) {
    const running_attempt& running = current->second;
    const dispatched_request& request = running.request;
    const bool lost = request.upstream == aUpstream;
    if (lost) {
      inFlight.push_back({ request.fingerprint, CrashOf(request), CrashWeight(running, aNow) });
    }
    current = lost ? mRunning.erase(current) : std::next(current);
  }
  // Of several attempts of one request, the one that had just begun weighs most.
  std::sort(inFlight.begin(), inFlight.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.fingerprint != aRight.fingerprint ? aLeft.fingerprint < aRight.fingerprint
                                                   : aLeft.weight > aRight.weight;
  });
  const auto sameRequest = [](const crashed_request& aLeft, const crashed_request& aRight) {
    return aLeft.fingerprint == aRight.fingerprint;
  };
  inFlight.erase(std::unique(inFlight.begin(), inFlight.end(), sameRequest), inFlight.end());
  return inFlight;
}

void
poison_tracker::RecordRecentCrash(const upstream_id& aUpstream,
                                  const std::vector<crashed_request>& aInFlight,
                                  time_point aNow)
{
  std::erase_if(mRecentCrashes, [&](const recent_crash& aOther) {
    return aOther.upstream == aUpstream || aOther.at + kCommonCauseWindow <= aNow;
  });
  recent_crash added{ aUpstream, aNow, {} };
  for (const crashed_request& request : aInFlight) {
    added.inFlight.push_back(request.fingerprint);
  }
  mRecentCrashes.push_back(std::move(added));
  if (mRecentCrashes.size() > kMaxRecentCrashes) {
    mRecentCrashes.pop_front();
  }
}

bool
poison_tracker::HasOtherCause(std::uint64_t aFingerprint, time_point aNow) const
{
  const auto others =
    std::count_if(mRecentCrashes.begin(), mRecentCrashes.end(), [&](const recent_crash& aOther) {
      const bool recent = aNow < aOther.at + kCommonCauseWindow;
      return recent &&
             !std::binary_search(aOther.inFlight.begin(), aOther.inFlight.end(), aFingerprint);
    });
  return static_cast<std::size_t>(others) >= kCommonCauseCrashes;
}

const poison_tracker::crashed_request*
poison_tracker::FindCulprit(const std::vector<crashed_request>& aInFlight, time_point aNow) const
{
  const crashed_request* culprit = nullptr;
  std::uint32_t most = 0;
  bool unique = false;
  for (const crashed_request& request : aInFlight) {
    const std::uint32_t earlier = mTable.IsolatingWeight(request.fingerprint, request.crash, aNow);
    if (earlier > most) {
      culprit = &request;
      most = earlier;
      unique = true;
    } else if (earlier == most) {
      unique = false;
    }
  }
  if (!unique || most + culprit->weight < kCulpritWeight ||
      HasOtherCause(culprit->fingerprint, aNow)) {
    return nullptr;
  }
  return culprit;
}

suspicion_changes
poison_tracker::AddCrash(const crashed_request& aRequest, bool aIsolates, time_point aNow)
{
  return mTable.AddCrash(
    { aRequest.fingerprint, aRequest.crash, aRequest.weight, aIsolates, false, {} }, aNow);
}

suspicion_changes
poison_tracker::RecordCrash(const upstream_id& aUpstream, time_point aNow)
{
  const std::vector<crashed_request> inFlight = TakeInFlight(aUpstream, aNow);
  RecordRecentCrash(aUpstream, inFlight, aNow);
  suspicion_changes changes;
  if (const crashed_request* culprit = FindCulprit(inFlight, aNow)) {
    changes = AddCrash(*culprit, true, aNow);
    if (Check(culprit->fingerprint, aNow).verdict != poison_verdict::quarantined) {
      changes.Append(mTable.Quarantine(culprit->fingerprint, aNow));
    }
    return changes;
  }
  for (const crashed_request& request : inFlight) {
    changes.Append(AddCrash(request, !HasOtherCause(request.fingerprint, aNow), aNow));
  }
  return changes;
}

suspicion_changes
poison_tracker::Apply(const suspicion_changes& aMessages, time_point aNow)
{
  for (const peers::quarantine_message& message : aMessages.quarantines) {
    mTable.Apply(message, aNow);
  }
  suspicion_changes changes;
  for (const peers::crash_message& message : aMessages.crashes) {
    changes.Append(mTable.Apply(message, aNow));
  }
  return changes;
}

} // namespace persimmon::poison
