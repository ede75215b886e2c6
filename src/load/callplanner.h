#pragma once

#include "base/random.h"
#include "load/loadmix.h"
#include "load/plannedcall.h"

#include <optional>

namespace persimmon::load {

/// Makes the calls of one run, in the order of their times. The same mix, seed and start give the
/// same calls.
class call_planner
{
public:
  /// aEpochStart is the start in wall-clock time, which idempotency keys carry. Calls are numbered
  /// aFirst, aFirst + aStep and so on, so that several planners share one run.
  call_planner(load_mix aMix,
               std::uint64_t aSeed,
               time_point aEpochStart,
               std::uint64_t aFirst,
               std::uint64_t aStep);

  /// Returns the next call, or nothing when the run is over.
  std::optional<planned_call> Next();

private:
  void FillModelCall(planned_call& aCall);
  void FillPlainCall(planned_call& aCall);
  const load_customer& ChooseCustomer();
  std::string Prompt(std::uint64_t aNumber);

  load_mix mMix;
  random_source mRandom;
  time_point mEpochStart;
  std::uint64_t mNumber;
  std::uint64_t mStep;
  double mAfterMs = 0;
};

/// Returns a UUIDv7 for a time since the Unix epoch.
idempotency_key
MakeUuidV7(time_point aEpochTime, random_source& aRandom);

} // namespace persimmon::load
