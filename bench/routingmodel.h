#pragma once

#include "routingmodeloptions.h"
#include "routingmodelresult.h"

namespace persimmon::bench {

/// Runs a model in simulated time; every decision is made by the cores of src/routing. The same
/// options give the same result.
model_result
RunModel(const model_options& aOptions);

} // namespace persimmon::bench
