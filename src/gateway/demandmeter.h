#pragma once

#include "base/decayingsum.h"
#include "routes/engineprofile.h"

#include <map>

namespace persimmon::gateway {

/// Measures the work that callers ask of each model, as the instances that it keeps busy. Pure.
class demand_meter
{
public:
  /// Records a call for a model.
  void RecordCall(const routes::engine_profile& aEngine,
                  const routes::model_name& aModel,
                  std::uint64_t aPromptTokens,
                  std::uint64_t aOutputTokens,
                  time_point aNow);
  /// Returns the smoothed work of each model; empty until enough was seen.
  [[nodiscard]] std::map<routes::model_name, double> DemandByModel(time_point aNow) const;

private:
  std::map<routes::model_name, decaying_sum> mWorkByModel;
  std::uint64_t mCallCount = 0;
};

} // namespace persimmon::gateway
