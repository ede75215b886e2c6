#pragma once

#include "placement/engineorder.h"
#include "placement/memberstate.h"
#include "platform/instancelist.h"

#include <algorithm>
#include <map>
#include <set>

namespace persimmon::placement {

/// A weight store that serves one load at a time.
struct fake_weights
{
  duration loadTime{ 4000 };
  /// When the last reserved load ends.
  time_point idleAt;

  /// Queues a load and returns when it ends.
  time_point ReserveLoad(time_point aNow)
  {
    idleAt = std::max(idleAt, aNow) + loadTime;
    return idleAt;
  }
};

/// Simulation of an instance with a model engine, limited to what placement observes.
struct fake_engine
{
  platform::listed_instance listed;
  bool up = true;
  bool paused = false;
  time_point unresponsiveSince;
  std::set<std::string> resident;
  fencing_token token;
  engine_order order;
  bool holdsGroup = false;
  bool draining = false;
  bool leaving = false;
  /// A release order also drops the weights.
  bool releaseDropsWeights = false;
  time_point readyAt;
  std::uint64_t inFlight = 0;
  std::int64_t stepTimeMs = 20;
  /// Number of weight loads.
  unsigned loads = 0;

  [[nodiscard]] bool Answers() const { return up && !paused; }

  [[nodiscard]] engine_state State(time_point aNow) const
  {
    if (!holdsGroup) {
      return engine_state::idle;
    }
    if (draining) {
      return engine_state::draining;
    }
    return aNow >= readyAt ? engine_state::ready : engine_state::loading;
  }

  order_outcome Accept(const engine_order& aOrder, fake_weights& aWeights, time_point aNow)
  {
    if (listed.checksFencingTokens && aOrder.token < token) {
      return order_outcome::stale_token;
    }
    if (aOrder.incarnationId != listed.incarnation) {
      return order_outcome::wrong_incarnation;
    }
    token = std::max(token, aOrder.token);
    if (aOrder.kind == order_kind::release) {
      holdsGroup = false;
      draining = false;
      if (releaseDropsWeights) {
        resident.clear();
      }
    } else if (aOrder.kind == order_kind::drain) {
      draining = holdsGroup;
    } else {
      Load(aOrder, aWeights, aNow);
    }
    return order_outcome::accepted;
  }

  void Load(const engine_order& aOrder, fake_weights& aWeights, time_point aNow)
  {
    const bool unchanged = holdsGroup && !draining && order.group == aOrder.group &&
                           order.version == aOrder.version && order.model == aOrder.model;
    if (unchanged && order.rank == aOrder.rank && order.members == aOrder.members) {
      return;
    }
    const std::string name = WeightsName(aOrder.model);
    const bool isResident = resident.contains(name);
    order = aOrder;
    holdsGroup = true;
    draining = false;
    readyAt = (isResident ? aNow : aWeights.ReserveLoad(aNow)) + kJoinTime;
    loads += isResident ? 0 : 1;
    resident = { name };
  }

  void Restart()
  {
    listed.incarnation = listed.incarnation.Next();
    up = true;
    paused = false;
    holdsGroup = false;
    draining = false;
    resident.clear();
    token = {};
    inFlight = 0;
  }

  static constexpr duration kJoinTime{ 500 };
};

/// All engines by instance.
using engine_map = std::map<instance_id, fake_engine>;

/// Returns the state that an engine reports in `GET /state`.
inline member_state
StateOf(const fake_engine& aEngine, const engine_map& aAll, time_point aNow)
{
  member_state state;
  state.instance = aEngine.listed.id;
  state.incarnationId = aEngine.listed.incarnation;
  state.state = aEngine.State(aNow);
  state.token = aEngine.token;
  state.fencing = aEngine.listed.checksFencingTokens;
  state.resident = { aEngine.resident.begin(), aEngine.resident.end() };
  state.inFlight = aEngine.inFlight;
  if (!aEngine.holdsGroup) {
    return state;
  }
  const engine_order& order = aEngine.order;
  state.group = order.group;
  state.version = order.version;
  state.service = order.service;
  state.model = order.model;
  state.rank = order.rank;
  state.size = order.members.size();
  for (const group_member& member : order.members) {
    const auto found = aAll.find(member.instance);
    if (order.rank != 0 || found == aAll.end()) {
      continue;
    }
    const fake_engine& other = found->second;
    const bool sameGroup = other.holdsGroup && other.order.group == order.group;
    member_observation observed;
    observed.instance = member.instance;
    observed.incarnationId = other.listed.incarnation;
    observed.sinceLastMessage = other.Answers() ? 0_ms : aNow - other.unresponsiveSince;
    observed.version = sameGroup ? other.order.version : generation{};
    observed.state = sameGroup ? other.State(aNow) : engine_state::idle;
    observed.stepTime.ms = other.stepTimeMs;
    state.members.push_back(observed);
  }
  return state;
}

} // namespace persimmon::placement
