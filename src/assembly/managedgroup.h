#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::assembly {

/// A member of a managed group.
struct managed_member
{
  instance_id instance;
  /// Incarnation that was ordered to join; a later one has lost its membership.
  incarnation incarnationId;
  /// True when the instance has accepted the order to join.
  bool joinAccepted = false;
  /// True when the latest report with this group's id and epoch showed a phase after joining.
  bool hasBeenReady = false;
  /// True when the instance must load the weights from the weight store.
  bool needsLoad = false;
  /// When the latest order to join was sent, or when the group was adopted.
  std::optional<time_point> joinSentAt;
  /// True when the instance is known to have left the group.
  bool hasLeft = false;
  /// When the latest order to leave was sent.
  std::optional<time_point> leaveSentAt;
  /// True when the instance has answered an order to join of this leader: earlier orders of former
  /// leaders have no effect since, where engines check tokens. Used in adopted groups.
  bool isConfirmed = false;
  /// When the latest order to join that confirms the membership was sent.
  std::optional<time_point> confirmationSentAt;
};

/// A group and its state from the first order to its members until they are released.
struct managed_group
{
  enum class stage
  {
    /// Members are joining; the head has not been ordered to open.
    forming,
    /// The head has been ordered to open.
    opening,
    /// The head accepts requests.
    serving,
    /// The head finishes the accepted requests.
    closing,
    /// A member is lost. The others become free once they or the head have left.
    releasing
  };

  group_id id;
  generation epoch;
  routes::model_name model;
  /// Head first. Empty once the group has ended.
  std::vector<managed_member> members;
  stage currentStage = stage::forming;
  /// True when a former leader formed the group: its head may serve although its entry does not
  /// show it yet.
  bool isAdopted = false;
  /// True while the group is released for the silence of a member, without proof.
  bool isReleasedForSilence = false;
  /// When the current stage began; for `serving`, when the preceding stage began.
  time_point stageStartedAt;
  /// When the latest order to open was sent.
  std::optional<time_point> openSentAt;
  /// True once the head has accepted an order to open, until it is seen to be open.
  bool isOpenAccepted = false;
  /// When the latest order to close was sent.
  std::optional<time_point> closeSentAt;
  [[nodiscard]] managed_member& Head() { return members.front(); }
  [[nodiscard]] const managed_member& Head() const { return members.front(); }
};

/// Returns the name of a stage for logs.
const char*
StageName(managed_group::stage aStage);

} // namespace persimmon::assembly
