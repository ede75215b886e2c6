#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "document/modelspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::placement {

enum class engine_state
{
  idle,
  loading,
  ready,
  draining
};

/// A member of a group as its head last heard it.
struct heard_member
{
  instance_id instance;
  incarnation life;
  /// Time since the head last heard the member.
  duration heard;
  generation version;
  engine_state state = engine_state::idle;
  /// Time of the member's last step; zero when the engine does not tell.
  duration step;

  bool operator==(const heard_member&) const = default;
};

/// What an instance says of itself in `GET /state`.
struct member_state
{
  instance_id instance;
  incarnation life;
  engine_state state = engine_state::idle;
  fencing_token token;
  bool fencing = true;
  group_id group;
  generation version;
  service_name service;
  model_spec model;
  std::uint64_t rank = 0;
  std::uint64_t size = 0;
  /// Filled in by heads only.
  std::vector<heard_member> members;
  /// Weights that need no load, as `model@version`.
  std::vector<std::string> resident;
  std::uint64_t inFlight = 0;

  bool operator==(const member_state&) const = default;
};

const char*
EngineStateName(engine_state aState);

/// Name under which engines list the weights of a model.
std::string
WeightsName(const model_spec& aModel);

/// Returns whether the instance has the weights of a model.
bool
IsResident(const member_state& aState, const model_spec& aModel);

/// Parses the body of `GET /state`; aProblem tells what is wrong with it.
std::optional<member_state>
ParseMemberState(std::string_view aText, std::string& aProblem);

} // namespace persimmon::placement
