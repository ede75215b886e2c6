#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/json.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmon::standins {

/// The faults of one instance that are in force.
struct instance_faults
{
  bool dead = false;
  bool paused = false;
  bool leaving = false;
  std::int64_t straggle = 1;
  std::string crashMarker;
  /// Time from a crash to the next life; 0 for never.
  duration crashReturn;

  bool operator==(const instance_faults&) const = default;
};

/// The faults in force that a process with many instances has, of whatever kind they are.
struct fleet_faults
{
  /// Instances that refuse connections; one that is taken out returns in a new life.
  std::set<instance_id> dead;
  /// Instances that accept calls and answer nothing until they are taken out.
  std::set<instance_id> paused;
  /// Instances that the platform lists as leaving.
  std::set<instance_id> leaving;
  /// Factors by which instances are slower.
  std::map<instance_id, std::int64_t> straggle;
  /// All instances are dead.
  bool dark = false;
  /// A request whose body contains this text makes its instance die; empty for none.
  std::string crashMarker;
  duration crashReturn;

  /// Reads the members of a plan that are common to all kinds of instances.
  static fleet_faults Read(json_reader& aReader, json_problem& aProblem);
  static std::optional<fleet_faults> Parse(const nlohmann::json& aValue, json_problem& aProblem);
  [[nodiscard]] nlohmann::json Render() const;
  [[nodiscard]] instance_faults Of(const instance_id& aInstance) const;
};

} // namespace persimmon::standins
