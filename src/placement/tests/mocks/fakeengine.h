#pragma once

#include "placement/engineorder.h"
#include "placement/memberstate.h"
#include "platform/instancelist.h"

#include <algorithm>
#include <map>
#include <set>

namespace persimmon::placement {

/// The weight store: all loads share one rate.
struct fake_weights
{
  duration loadTime{ 4000 };
  time_point freeAt;

  time_point Take(time_point aNow)
  {
    freeAt = std::max(freeAt, aNow) + loadTime;
    return freeAt;
  }
};

/// One instance with a model engine, as far as placement sees it.
struct fake_engine
{
  platform::listed_instance listed;
  bool up = true;
  bool paused = false;
  time_point awaySince;
  std::set<std::string> resident;
  fencing_token token;
  engine_order order;
  bool holdsGroup = false;
  bool draining = false;
  bool leaving = false;
  /// A release drops the weights too.
  bool releaseDropsWeights = false;
  time_point readyAt;
  std::uint64_t inFlight = 0;
  std::int64_t stepTimeMs = 20;
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
    if (aOrder.life != listed.incarnation) {
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
    const bool same = holdsGroup && !draining && order.group == aOrder.group &&
                      order.version == aOrder.version && order.model == aOrder.model;
    if (same && order.rank == aOrder.rank && order.members == aOrder.members) {
      return;
    }
    const std::string name = WeightsName(aOrder.model);
    const bool has = resident.contains(name);
    order = aOrder;
    holdsGroup = true;
    draining = false;
    readyAt = (has ? aNow : aWeights.Take(aNow)) + kJoin;
    loads += has ? 0 : 1;
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

  static constexpr duration kJoin{ 500 };
};

/// All engines by instance.
using engine_map = std::map<instance_id, fake_engine>;

/// Returns what an engine answers to `GET /state`.
inline member_state
StateOf(const fake_engine& aEngine, const engine_map& aAll, time_point aNow)
{
  member_state state;
  state.instance = aEngine.listed.id;
  state.life = aEngine.listed.incarnation;
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
    heard_member heard;
    heard.instance = member.instance;
    heard.life = other.listed.incarnation;
    heard.heard = other.Answers() ? 0_ms : aNow - other.awaySince;
    heard.version = sameGroup ? other.order.version : generation{};
    heard.state = sameGroup ? other.State(aNow) : engine_state::idle;
    heard.step.ms = other.stepTimeMs;
    state.members.push_back(heard);
  }
  return state;
}

} // namespace persimmon::placement
