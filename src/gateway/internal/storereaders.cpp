#include "gateway/storereaders.h"

#include "peers/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace persimmon::gateway {
namespace {

constexpr const char* kRendezvousKey = "store-readers";
constexpr double kPercent = 100;

/// Returns the readers of one availability zone.
std::vector<router_id>
ReadersOfZone(const std::vector<const reader_candidate*>& aCandidates)
{
  std::map<std::uint32_t, std::vector<router_id>, std::greater<>> byProcessor;
  for (const reader_candidate* candidate : aCandidates) {
    byProcessor[candidate->processorPercent].push_back(candidate->id);
  }
  std::vector<router_id> readers;
  for (const auto& [percent, ids] : byProcessor) {
    const std::size_t missing = kReadersPerZone - readers.size();
    const std::vector<router_id> chosen = peers::SelectByWeight(kRendezvousKey, ids, missing);
    readers.insert(readers.end(), chosen.begin(), chosen.end());
  }
  return readers;
}

} // namespace

std::uint32_t
ProcessorPercent(double aQuota)
{
  return aQuota > 0 ? static_cast<std::uint32_t>(std::lround(std::min(aQuota, kPercent) * kPercent))
                    : 0;
}

std::set<router_id>
ChooseStoreReaders(const std::vector<reader_candidate>& aLive)
{
  std::map<zone_name, std::vector<const reader_candidate*>> byZone;
  for (const reader_candidate& candidate : aLive) {
    byZone[candidate.zone].push_back(&candidate);
  }
  std::set<router_id> readers;
  for (const auto& [zone, candidates] : byZone) {
    const std::vector<router_id> chosen = ReadersOfZone(candidates);
    readers.insert(chosen.begin(), chosen.end());
  }
  return readers;
}

store_reading::store_reading(router_id aSelf, duration aMaxAge)
  : mSelf(std::move(aSelf))
  , mMaxAge(aMaxAge)
{
}

void
store_reading::SetLive(const std::vector<reader_candidate>& aLive)
{
  const std::set<router_id> readers = ChooseStoreReaders(aLive);
  mIsChosen = aLive.empty() || readers.count(mSelf) != 0;
  mReaderCount = std::max<std::size_t>(readers.size(), 1);
  mLiveCount = std::max<std::size_t>(aLive.size(), 1);
}

void
store_reading::OnPosition(time_point aAsOf)
{
  mAsOf = std::max(mAsOf, aAsOf);
}

void
store_reading::OnSuspended()
{
  mAsOf = { INT64_MIN / 2 };
}

bool
store_reading::MustRead(time_point aNow) const
{
  return mIsChosen || Age(aNow) > mMaxAge;
}

duration
ReaderPollTimeout(const store_reading& aReading, duration aAlone, double aRandom)
{
  if (aReading.ReaderCount() >= aReading.LiveCount()) {
    return aAlone;
  }
  const auto drawn =
    static_cast<std::int64_t>(aRandom * static_cast<double>(kReaderPollTimeout.ms));
  return kReaderPollTimeout / 2 + duration{ drawn } / 2;
}

duration
MaxReadAge(duration aLeaveNotice)
{
  return std::max(aLeaveNotice - kLeaveHandlingTime, aLeaveNotice / 2);
}

} // namespace persimmon::gateway
