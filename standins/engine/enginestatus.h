#pragma once

#include "base/clock.h"
#include "standins/engine/memberboard.h"

#include <string>
#include <vector>

namespace persimmon::standins {

/// A member as its head last heard it.
struct member_status
{
  instance_id instance;
  incarnation life;
  duration heardAgo;
  generation version;
  engine_state state = engine_state::idle;
};

/// Running and queued requests as the engine last reported them.
struct load_report
{
  std::size_t running = 0;
  std::size_t queued = 0;
  time_point takenAt;
};

/// What `GET /state` tells of an instance.
struct engine_status
{
  instance_id instance;
  incarnation life;
  engine_state state = engine_state::idle;
  fencing_token token;
  bool fencing = true;
  group_id group;
  generation version;
  service_name service;
  std::string model;
  std::string adapter;
  std::string modelVersion;
  std::uint32_t rank = 0;
  std::size_t size = 0;
  /// Filled in on the head only.
  std::vector<member_status> members;
  std::vector<std::string> resident;
  std::size_t inFlight = 0;
  load_report load;
  duration loadAge;
};

/// Returns the body of `GET /state`.
std::string
RenderStatus(const engine_status& aStatus);

/// Parses what a member's `GET /state` tells of its life and group.
std::optional<member_report>
ParseMemberReport(std::string_view aText, time_point aHeardAt);

} // namespace persimmon::standins
