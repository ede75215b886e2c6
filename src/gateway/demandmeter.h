#pragma once

#include "base/decayingsum.h"
#include "routes/engineprofile.h"

#include <map>

namespace persimmon::gateway {

/// Estimates the demand for each model as the number of instances that its calls keep busy. Does no
/// I/O and reads no clock.
class demand_meter
{
public:
  /// Records a call for a model. A model that the engine does not offer is ignored.
  void RecordCall(const routes::engine_profile& aEngine,
                  const routes::model_name& aModel,
                  std::uint64_t aPromptTokens,
                  std::uint64_t aOutputTokens,
                  time_point aNow);
  /// Returns the smoothed demand for each model; empty until enough calls were recorded.
  [[nodiscard]] std::map<routes::model_name, double> DemandByModel(time_point aNow) const;

private:
  std::map<routes::model_name, decaying_sum> mWorkByModel;
  std::uint64_t mCallCount = 0;
};

} // namespace persimmon::gateway
