#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::routes {

/// Name of a model that engines serve.
using model_name = text_id<struct model_name_tag>;

/// Group size, speed and load times of one model of an engine service.
struct model_profile
{
  model_name name;
  /// Instances that form one group.
  std::size_t groupSize = 1;
  /// Factor on all step and prompt times of the engine when it runs this model.
  double timeFactor = 1;
  /// Expected fraction of the work at startup, before any demand is measured, 0 to 1.
  double initialDemandShare = 1;
  /// Time to load the weights from the weight store.
  duration loadTime;
  /// Time to load the weights when the instance's host already has them.
  duration warmLoadTime;
};

/// Capacity and timing of the engines of a service, from which call costs are predicted.
struct engine_profile
{
  /// Requests that a group runs concurrently.
  std::size_t slots = 1;
  std::vector<model_profile> models;
  /// Base time of a decode step, which produces one token for each running request.
  double stepMs = 0;
  /// Time that each running request adds to a step.
  double stepPerRequestMs = 0;
  /// Mean number of tokens in a response.
  double meanOutputTokens = 0;
  /// Prompt tokens that the engine processes per second.
  double promptTokensPerSecond = 1;
  /// Most prompt tokens that the engine processes between two steps.
  std::uint64_t promptChunkTokens = 1;
  /// Decode steps between two admissions of new requests.
  std::uint64_t stepsPerAdmission = 1;
  /// Loads from the weight store that may start per second.
  double loadsPerSecond = 1;
  /// Loads that can run concurrently without slowing each other down.
  std::size_t concurrentLoads = 1;
  /// Time from the order to open a group until it accepts requests.
  duration openTime;

  /// Returns the profile of a model; nullptr when the service has no model of that name.
  [[nodiscard]] const model_profile* FindModel(const model_name& aModel) const
  {
    for (const model_profile& model : models) {
      if (model.name == aModel) {
        return &model;
      }
    }
    return nullptr;
  }
};

} // namespace persimmon::routes
