#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::assembly {

/// A member of a formation.
struct managed_member
{
  instance_id instance;
  /// Life in which it was asked to join; in another one it has forgotten the group.
  incarnation incarnationId;
  /// It has accepted the order to join.
  bool joinAccepted = false;
  /// It has been ready under the group's name, epoch and members.
  bool hasBeenReady = false;
  /// It needs its weights from the weight store.
  bool needsLoad = false;
  std::optional<time_point> joinSentAt;
  /// It has accepted the order to leave.
  bool hasLeft = false;
  std::optional<time_point> leaveSentAt;
};

/// A group from its first order to the release of its members.
struct managed_group
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
  std::vector<managed_member> members;
  stage currentStage = stage::forming;
  time_point stageStartedAt;
  std::optional<time_point> openSentAt;
  std::optional<time_point> closeSentAt;
  [[nodiscard]] managed_member& Head() { return members.front(); }
  [[nodiscard]] const managed_member& Head() const { return members.front(); }
};

const char*
StageName(managed_group::stage aStage);

} // namespace persimmon::assembly
