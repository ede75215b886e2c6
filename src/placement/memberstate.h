#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "document/modelspec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::placement {

/// Largest response of an instance to GET /state or to an order, in bytes.
constexpr std::size_t kMaxMemberResponseBytes = 256U << 10U;

enum class engine_state
{
  idle,
  loading,
  ready,
  draining
};

/// State of a group member as last reported to its head.
struct member_observation
{
  instance_id instance;
  incarnation incarnationId;
  /// Time since the head last received a message from the member.
  duration sinceLastMessage;
  generation version;
  engine_state state = engine_state::idle;
  /// Duration of the member's last step; zero when the engine does not report it.
  duration stepTime;

  bool operator==(const member_observation&) const = default;
};

/// State that an instance reports in its response to `GET /state`.
struct member_state
{
  instance_id instance;
  incarnation incarnationId;
  engine_state state = engine_state::idle;
  fencing_token token;
  bool fencing = true;
  group_id group;
  generation version;
  service_name service;
  model_spec model;
  std::uint64_t rank = 0;
  std::uint64_t size = 0;
  /// Reported by heads only.
  std::vector<member_observation> members;
  /// Weights that are already loaded, as `model@version`.
  std::vector<std::string> resident;
  std::uint64_t inFlight = 0;

  bool operator==(const member_state&) const = default;
};

const char*
EngineStateName(engine_state aState);

/// Returns the name under which engines list the weights of a model, `model@version`.
std::string
WeightsName(const model_spec& aModel);

/// Returns whether the weights of a model are loaded on the instance.
bool
IsResident(const member_state& aState, const model_spec& aModel);

/// Parses the body of a `GET /state` response; on failure returns nothing and describes the error
/// in aProblem.
std::optional<member_state>
ParseMemberState(std::string_view aText, std::string& aProblem);

} // namespace persimmon::placement
