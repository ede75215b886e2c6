#include "paths/pathtable.h"

#include <algorithm>

namespace persimmon::paths {
namespace {

/// Upstreams with a lost path from which a cut of all is concluded, or all when there are fewer.
constexpr std::size_t kLostForCutOff = 3;
/// Time between two questions to peers about one upstream: at first, and at most.
constexpr duration kMinRelayCheckInterval = 300_ms;
constexpr duration kMaxRelayCheckInterval = 5_s;
/// Direct connections that are tried at a time, on lost paths and on others: a connection takes a
/// slot of an upstream for a moment.
constexpr std::size_t kLostChecks = 8;
constexpr std::size_t kSoundChecks = 16;
/// Lost paths from which the others are tried, too.
constexpr std::size_t kLostForSurvey = 2;

} // namespace

void
path_table::OnDirectConnected(const endpoint& aUpstream, time_point aNow)
{
  mLastDirectAt = aNow;
  mFailed.erase(aUpstream);
  mCutOffSince.reset();
}

void
path_table::OnDirectFailed(const endpoint& aUpstream, time_point aStartedAt)
{
  if (!IsUpstream(aUpstream)) {
    return;
  }
  failed_path added;
  added.firstFailedAt = aStartedAt;
  added.relayCheckInterval = kMinRelayCheckInterval;
  mFailed.try_emplace(aUpstream, added);
}

void
path_table::OnRelayConnected(const endpoint& aUpstream, time_point)
{
  const auto found = mFailed.find(aUpstream);
  if (found != mFailed.end() && !found->second.isRelayed) {
    found->second.isRelayed = true;
    UpdateCutOff();
  }
}

void
path_table::OnRelayFailed(const endpoint& aUpstream)
{
  const auto found = mFailed.find(aUpstream);
  if (found != mFailed.end()) {
    found->second.isRelayed = false;
  }
}

void
path_table::OnRelayRefused(const endpoint& aUpstream, time_point aNow)
{
  const auto found = mFailed.find(aUpstream);
  if (found != mFailed.end()) {
    found->second.refusedPeerAt = aNow;
  }
}

bool
path_table::RefusesPeers(const endpoint& aUpstream, time_point aNow) const
{
  const auto found = mFailed.find(aUpstream);
  return found != mFailed.end() && aNow - found->second.refusedPeerAt < kRefusalMemory;
}

void
path_table::UpdateCutOff()
{
  if (mCutOffSince) {
    return;
  }
  std::size_t lost = 0;
  std::optional<time_point> since;
  for (const auto& [upstream, path] : mFailed) {
    if (path.isRelayed && IsSinceLastDirect(path)) {
      ++lost;
      since = std::min(since.value_or(path.firstFailedAt), path.firstFailedAt);
    }
  }
  if (SufficeForCutOff(lost)) {
    mCutOffSince = since;
  }
}

bool
path_table::SufficeForCutOff(std::size_t aPaths) const
{
  return aPaths > 0 &&
         aPaths >= std::min(kLostForCutOff, std::max<std::size_t>(mUpstreams.size(), 1));
}

bool
path_table::MayBeCutOff() const
{
  const auto failed = std::count_if(mFailed.begin(), mFailed.end(), [this](const auto& aPath) {
    return IsSinceLastDirect(aPath.second);
  });
  return SufficeForCutOff(static_cast<std::size_t>(failed));
}

path_kind
path_table::PathTo(const endpoint& aUpstream) const
{
  return DirectLostAt(aUpstream) ? path_kind::relayed : path_kind::direct;
}

std::optional<time_point>
path_table::DirectLostAt(const endpoint& aUpstream) const
{
  if (mCutOffSince) {
    return mCutOffSince;
  }
  const auto found = mFailed.find(aUpstream);
  if (found == mFailed.end() || !found->second.isRelayed) {
    return std::nullopt;
  }
  return found->second.firstFailedAt;
}

std::size_t
path_table::LostCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mFailed.begin(), mFailed.end(), [](const auto& aPath) { return aPath.second.isRelayed; }));
}

duration
path_table::RelayCheckInterval(const failed_path& aPath) const
{
  return MayBeCutOff() ? kMinRelayCheckInterval : aPath.relayCheckInterval;
}

bool
path_table::NeedsRelayCheck(const endpoint& aUpstream, time_point aNow) const
{
  const auto found = mFailed.find(aUpstream);
  if (found == mFailed.end() || found->second.isRelayed) {
    return false;
  }
  const failed_path& path = found->second;
  const bool isFirst = path.relayCheckedAt < path.firstFailedAt;
  return isFirst || aNow - path.relayCheckedAt >= RelayCheckInterval(path);
}

void
path_table::OnRelayCheck(const endpoint& aUpstream, time_point aNow)
{
  const auto found = mFailed.find(aUpstream);
  if (found == mFailed.end() || found->second.relayCheckedAt == aNow) {
    return;
  }
  failed_path& path = found->second;
  const bool isFirst = path.relayCheckedAt < path.firstFailedAt;
  path.relayCheckInterval = isFirst
                              ? kMinRelayCheckInterval
                              : std::min(RelayCheckInterval(path) * 2, kMaxRelayCheckInterval);
  path.relayCheckedAt = aNow;
}

std::vector<endpoint>
path_table::LostPaths() const
{
  std::vector<std::pair<time_point, endpoint>> lost;
  for (const auto& [upstream, path] : mFailed) {
    if (path.isRelayed) {
      lost.emplace_back(path.directCheckedAt, upstream);
    }
  }
  std::sort(lost.begin(), lost.end());
  std::vector<endpoint> upstreams;
  upstreams.reserve(lost.size());
  for (auto& [checkedAt, upstream] : lost) {
    upstreams.push_back(std::move(upstream));
  }
  return upstreams;
}

void
path_table::AddSoundPaths(std::vector<endpoint>& aChecks)
{
  for (std::size_t i = 0; i < std::min(kSoundChecks, mUpstreams.size()); ++i) {
    auto next = mUpstreams.upper_bound(mLastChecked);
    next = next == mUpstreams.end() ? mUpstreams.begin() : next;
    mLastChecked = *next;
    if (!mFailed.contains(*next)) {
      aChecks.push_back(*next);
    }
  }
}

std::vector<endpoint>
path_table::TakeDirectChecks(time_point aNow)
{
  std::vector<endpoint> checks = LostPaths();
  const bool areSeveralLost = checks.size() >= kLostForSurvey;
  checks.resize(std::min(checks.size(), kLostChecks));
  for (const endpoint& upstream : checks) {
    mFailed.at(upstream).directCheckedAt = aNow;
  }
  const bool isCutOff = mCutOffSince.has_value();
  // A cut ends by a connection: without a lost path to try, to any upstream.
  if (isCutOff ? checks.empty() : areSeveralLost) {
    AddSoundPaths(checks);
  }
  return checks;
}

void
path_table::SetUpstreams(std::set<endpoint> aUpstreams)
{
  mUpstreams = std::move(aUpstreams);
  std::erase_if(mFailed, [this](const auto& aPath) { return !IsUpstream(aPath.first); });
  if (mUpstreams.empty()) {
    mCutOffSince.reset();
  }
}

} // namespace persimmon::paths
