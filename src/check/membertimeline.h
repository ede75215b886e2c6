#pragma once

#include "check/runhistory.h"

#include <map>
#include <string>
#include <vector>

namespace persimmon::check {

/// What one instance was from some time on, by its own reports.
struct member_phase
{
  enum class condition
  {
    /// Idle or loading.
    unready,
    /// Ready, or finishing its last requests.
    working,
    dead,
    paused
  };

  time_point from;
  condition state = condition::unready;
  group_version group;
  std::uint64_t incarnation = 0;
  const recorded_event* event = nullptr;
};

/// What each instance was at any time.
class member_timeline
{
public:
  explicit member_timeline(const run_history& aHistory);

  /// Returns the phase in which an instance was at a time, or nullptr before its first report.
  [[nodiscard]] const member_phase* At(const std::string& aInstance, time_point aTime) const;
  /// Returns whether an instance worked in that group's version and life at any moment from aFrom
  /// to aTo, both included. Life 0 stands for any.
  [[nodiscard]] bool WorkedWithin(const instance_life& aMember,
                                  const group_version& aGroup,
                                  time_point aFrom,
                                  time_point aTo) const;

private:
  std::map<std::string, std::vector<member_phase>> mPhases;
};

} // namespace persimmon::check
