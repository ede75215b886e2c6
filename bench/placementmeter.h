#pragma once

#include "placement/tests/mocks/placementharness.h"

namespace persimmon::bench {

/// What a run cost.
struct placement_cost
{
  /// Groups that a document asks for and that do not serve, times seconds.
  double groupSecondsDown = 0;
  /// Instances that work and serve in no group while a service waits, times seconds.
  double strandedSeconds = 0;
  /// Groups that serve with a straggler, times seconds.
  double slowGroupSeconds = 0;
  std::uint64_t storeWrites = 0;
  std::uint64_t weightLoads = 0;
};

/// Adds up the cost of a simulated deployment at fixed intervals.
class placement_meter
{
public:
  placement_meter(placement::placement_harness& aHarness, std::vector<service_document> aDocuments)
    : mHarness(aHarness)
    , mDocuments(std::move(aDocuments))
  {
  }

  /// Measures from now on, until the harness stops.
  void Start();
  [[nodiscard]] placement_cost Cost() const;

private:
  void Sample();

  placement::placement_harness& mHarness;
  std::vector<service_document> mDocuments;
  placement_cost mCost;
  std::uint64_t mWritesBefore = 0;
  std::uint64_t mLoadsBefore = 0;
};

} // namespace persimmon::bench
