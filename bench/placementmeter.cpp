#include "placementmeter.h"

#include <algorithm>
#include <set>

namespace persimmon::bench {
namespace {

using namespace persimmon::placement;

constexpr duration kInterval{ 200 };
constexpr double kMsPerSecond = 1000;
/// Steps this much longer than usual make a member a straggler.
constexpr std::int64_t kSlowStepMs = 60;

std::uint64_t
CountLoads(const placement_harness& aHarness)
{
  std::uint64_t loads = 0;
  for (const auto& [id, engine] : aHarness.engines) {
    loads += engine.loads;
  }
  return loads;
}

} // namespace

void
placement_meter::Start()
{
  mWritesBefore = mHarness.storeWrites;
  mLoadsBefore = CountLoads(mHarness);
  Sample();
}

placement_cost
placement_meter::Cost() const
{
  placement_cost cost = mCost;
  cost.storeWrites = mHarness.storeWrites - mWritesBefore;
  cost.weightLoads = CountLoads(mHarness) - mLoadsBefore;
  return cost;
}

void
placement_meter::Sample()
{
  const double seconds = static_cast<double>(kInterval.ms) / kMsPerSecond;
  std::set<instance_id> serving;
  std::map<service_name, std::int64_t> eligible;
  for (const domain_table& table : mHarness.Tables()) {
    for (const group& entry : table.groups) {
      if (!mHarness.IsEligible(entry)) {
        continue;
      }
      ++eligible[entry.service];
      bool slow = false;
      for (const placement::group_member& member : entry.members) {
        serving.insert(member.instance);
        slow = slow || mHarness.engines.at(member.instance).stepTimeMs > kSlowStepMs;
      }
      mCost.slowGroupSeconds += slow ? seconds : 0;
    }
  }
  std::int64_t missing = 0;
  for (const service_document& document : mDocuments) {
    missing += std::max<std::int64_t>(0, document.capacity.replicas - eligible[document.service]);
  }
  mCost.groupSecondsDown += static_cast<double>(missing) * seconds;
  if (missing > 0) {
    const auto idle =
      std::count_if(mHarness.engines.begin(), mHarness.engines.end(), [&](const auto& aEntry) {
        return aEntry.second.Answers() && !aEntry.second.leaving && !serving.contains(aEntry.first);
      });
    mCost.strandedSeconds += static_cast<double>(idle) * seconds;
  }
  mHarness.After(kInterval, [this] { Sample(); });
}

} // namespace persimmon::bench
