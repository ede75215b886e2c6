#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::assembly {

/// A member of a formation.
struct formation_member
{
  instance_id instance;
  /// Life in which it was asked to join; in another one it has forgotten the group.
  incarnation life;
  /// It has accepted the order to join.
  bool accepted = false;
  /// It has been ready under the group's name, epoch and members.
  bool wasReady = false;
  /// It needs its weights from the weight store.
  bool loads = false;
  std::optional<time_point> askedAt;
  /// It has accepted the order to leave.
  bool left = false;
  std::optional<time_point> leaveAskedAt;
};

/// A group from its first order to the release of its members.
struct formation
{
  enum class stage
  {
    /// Members are joining; the head has not been told to open.
    forming,
    /// The head was told to open.
    opening,
    /// The head takes requests.
    serving,
    /// The head finishes what it runs.
    closing,
    /// A member is lost; the others join elsewhere once they or the head have left.
    releasing
  };

  group_id id;
  generation epoch;
  routes::model_name model;
  /// The head first.
  std::vector<formation_member> members;
  stage at = stage::forming;
  time_point since;
  std::optional<time_point> openAskedAt;
  std::optional<time_point> closeAskedAt;
  [[nodiscard]] formation_member& Head() { return members.front(); }
  [[nodiscard]] const formation_member& Head() const { return members.front(); }
};

const char*
StageName(formation::stage aStage);

} // namespace persimmon::assembly
