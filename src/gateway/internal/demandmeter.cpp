#include "gateway/demandmeter.h"

namespace persimmon::gateway {
namespace {

/// Half-life of recorded work. A sustained burst changes how instances are split between models; a
/// brief one does not.
constexpr duration kWorkHalfLife = 6_s;
/// Number of calls below which no demand is reported.
constexpr std::uint64_t kMinCalls = 40;
/// Average fraction of its maximum output tokens that a call uses.
constexpr double kUsedOutputFraction = 0.8;
/// Number of requests that a group runs concurrently while it still meets its latency target.
constexpr double kTypicalConcurrency = 8;

} // namespace

void
demand_meter::RecordCall(const routes::engine_profile& aEngine,
                         const routes::model_name& aModel,
                         std::uint64_t aPromptTokens,
                         std::uint64_t aOutputTokens,
                         time_point aNow)
{
  const routes::model_profile* model = aEngine.FindModel(aModel);
  if (model == nullptr) {
    return;
  }
  const double readMs = static_cast<double>(aPromptTokens) * 1000 / aEngine.promptTokensPerSecond;
  const double writeMs =
    static_cast<double>(aOutputTokens) * kUsedOutputFraction * aEngine.stepMs / kTypicalConcurrency;
  const double work =
    (readMs + writeMs) * model->timeFactor * static_cast<double>(model->groupSize);
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
