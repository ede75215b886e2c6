#include "standins/service/serviceinstance.h"

#include <algorithm>

namespace persimmon::standins {

service_instance::service_instance(const service_options& aOptions,
                                   instance_id aInstance,
                                   std::uint64_t aSeed)
  : mOptions(aOptions)
  , mInstance(std::move(aInstance))
  , mRandom(aSeed)
{
}

bool
service_instance::Happens(std::int64_t aPercent)
{
  constexpr std::uint64_t kAllPercent = 100;
  return static_cast<std::int64_t>(mRandom.Below(kAllPercent)) < aPercent;
}

call_verdict
service_instance::Submit(service_call aCall, time_point aNow)
{
  if (Happens(mPlan.dropBeforePercent)) {
    return call_verdict::dropped;
  }
  if (mRunning.size() >= mOptions.maxRunning) {
    return call_verdict::refused;
  }
  const instance_faults faults = mPlan.Of(mInstance);
  const bool crashes =
    !faults.crashMarker.empty() && aCall.body.find(faults.crashMarker) != std::string::npos;
  aCall.life = mLife;
  aCall.doneAt = aNow + mOptions.delay * faults.straggle + mPlan.slow;
  mRunning.push_back(std::move(aCall));
  return crashes ? call_verdict::crashes : call_verdict::runs;
}

std::vector<finished_call>
service_instance::Tick(time_point aNow)
{
  std::vector<finished_call> finished;
  const auto first = std::stable_partition(
    mRunning.begin(), mRunning.end(), [&](const auto& aCall) { return aCall.doneAt > aNow; });
  for (auto it = first; it != mRunning.end(); ++it) {
    finished.push_back({ std::move(*it), Happens(mPlan.dropAfterPercent) });
  }
  mRunning.erase(first, mRunning.end());
  return finished;
}

std::vector<service_call>
service_instance::Die()
{
  mDead = true;
  std::vector<service_call> cut;
  cut.swap(mRunning);
  return cut;
}

void
service_instance::Return()
{
  mLife = mLife.Next();
  mDead = false;
}

void
service_instance::Apply(const service_faults& aPlan)
{
  mPlan = aPlan;
}

} // namespace persimmon::standins
