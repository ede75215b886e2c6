#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::routes {

/// Name of a model that engines serve.
using model_name = text_id<struct model_name_tag>;

/// One model of an engine service.
struct model_profile
{
  model_name name;
  /// Instances of one group.
  std::size_t groupSize = 1;
  /// Factor on all times of the group's engine.
  double timeFactor = 1;
  /// Part of the work that is expected at the start, 0 to 1.
  double initialDemandShare = 1;
  /// Time to load the weights from the weight store.
  duration loadTime;
  /// Time to load the weights from the instance's own host.
  duration warmLoadTime;
};

/// How the engines of a service work.
struct engine_profile
{
  /// Requests that a group runs at once.
  std::size_t slots = 1;
  std::vector<model_profile> models;
  /// Time of a step that makes one token of each running request, and what each of them adds.
  double stepMs = 0;
  double stepPerRequestMs = 0;
  /// Mean tokens of an answer.
  double meanOutputTokens = 0;
  /// Prompt tokens that are read in a second.
  double promptTokensPerSecond = 1;
  /// Prompt tokens that are read at most between two steps.
  std::uint64_t promptChunkTokens = 1;
  /// Steps between two looks at new work.
  std::uint64_t stepsPerAdmission = 1;
  /// Loads from the weight store that may start in a second.
  double loadsPerSecond = 1;
  /// Loads that run at once without slowing each other.
  std::size_t concurrentLoads = 1;
  /// Time from the order to open until a group takes requests.
  duration openTime;

  /// Returns a model's profile; nullptr when there is none of that name.
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
