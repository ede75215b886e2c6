#include "gateway/demandmeter.h"

namespace persimmon::gateway {
namespace {

/// Work counts half after this time, so that a burst moves the split and a short one does not.
constexpr duration kWorkHalfLife = 6_s;
/// Calls before the measure counts.
constexpr std::uint64_t kMinCalls = 40;
/// Part of the allowed output that a call uses in the mean.
constexpr double kUsedOutputFraction = 0.8;
/// Requests that a group runs side by side when it still answers in time.
constexpr double kTypicalConcurrency = 8;

} // namespace

void
demand_meter::RecordCall(const routes::engine_profile& aEngine,
                         const routes::model_name& aModel,
                         std::uint64_t aPromptTokens,
                         std::uint64_t aOutputTokens,
                         time_point aNow)
{
  const routes::model_profile* model = aEngine.Find(aModel);
  if (model == nullptr) {
    return;
  }
  const double readMs = static_cast<double>(aPromptTokens) * 1000 / aEngine.readPerSecond;
  const double writeMs =
    static_cast<double>(aOutputTokens) * kUsedOutputFraction * aEngine.stepMs / kTypicalConcurrency;
  const double work = (readMs + writeMs) * model->pace * static_cast<double>(model->size);
  mWorkByModel.try_emplace(aModel, kWorkHalfLife).first->second.Add(work, aNow);
  ++mCallCount;
}

std::map<routes::model_name, double>
demand_meter::DemandByModel(time_point aNow) const
{
  std::map<routes::model_name, double> demand;
  if (mCallCount < kMinCalls) {
    return demand;
  }
  for (const auto& [model, sum] : mWorkByModel) {
    demand[model] = sum.Value(aNow);
  }
  return demand;
}

} // namespace persimmon::gateway
