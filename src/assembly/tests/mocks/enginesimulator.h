#pragma once

#include "assembly/assemblyaction.h"
#include "assembly/orderoutcome.h"
#include "fleet/fleetview.h"
#include "routes/serviceprofile.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::assembly {

/// Engines without sockets: they take orders, load, form groups and notice lost members after a
/// while, and they record every broken promise.
class engine_sim
{
public:
  struct host
  {
    fleet::instance self;
    bool alive = true;
    /// The assembler's calls reach it.
    bool reachable = true;
    /// Answers of orders to it are lost.
    bool mute = false;
    time_point readyAt;
    time_point openAt;
    std::vector<instance_id> members;
    std::uint64_t highestEpoch = 0;
    std::uint64_t highestToken = 0;
    routes::model_name lastGroupModel;
  };

  engine_sim()
  {
    service.name = { "llm" };
    service.engine.emplace();
    service.engine->slots = 17;
    service.engine->loadsPerSecond = 5;
    service.engine->concurrentLoads = 7;
    service.engine->openTime = 300_ms;
    service.engine->models = { { { "quad" }, 4, 1, 0.5, 16_s, 1600_ms },
                               { { "pair" }, 2, 1, 0.5, 12_s, 1100_ms } };
  }

  void Add(const std::string& aId, const std::string& aDomain)
  {
    host made;
    made.self.id = { aId };
    made.self.service = service.name;
    made.self.address = { aId + ":80" };
    made.self.incarnationId = { ++mLives };
    made.self.domain = { aDomain };
    hosts[made.self.id] = made;
  }

  void Restart(host& aHost)
  {
    const fleet::instance old = aHost.self;
    aHost = {};
    aHost.self = old;
    aHost.self.incarnationId = { ++mLives };
    aHost.self.membership.reset();
    aHost.self.model = {};
    aHost.self.acceptedOrders = 0;
  }

  /// What the store shows: every living host and those that died lately.
  [[nodiscard]] fleet::fleet_view View() const
  {
    fleet::fleet_view view;
    for (const auto& [id, one] : hosts) {
      view.Upsert(one.self);
    }
    return view;
  }

  std::optional<fleet::engine_report> Report(const instance_id& aId) const
  {
    const host& one = hosts.at(aId);
    if (!one.alive || !one.reachable) {
      return std::nullopt;
    }
    fleet::engine_report report;
    report.incarnationId = one.self.incarnationId;
    report.model = one.self.model;
    report.stagedModels = one.self.stagedModels;
    report.membership = one.self.membership;
    report.acceptedOrders = one.self.acceptedOrders;
    return report;
  }

  /// Gives an order; the outcome is what the assembler hears.
  order_outcome SendOrder(const engine_order& aOrder, time_point aNow)
  {
    host& one = hosts.at(aOrder.instance);
    if (!one.alive || !one.reachable) {
      return order_outcome::not_sent;
    }
    const order_outcome outcome = Take(one, aOrder, aNow);
    return one.mute ? order_outcome::unknown : outcome;
  }

  /// Carries an order out, as one that was held up on its way.
  order_outcome Take(host& aHost, const engine_order& aOrder, time_point aNow)
  {
    if (!aHost.alive) {
      return order_outcome::not_sent;
    }
    if (aOrder.token.value < aHost.highestToken) {
      return order_outcome::superseded;
    }
    aHost.highestToken = aOrder.token.value;
    switch (aOrder.kind) {
      case order_kind::join:
        return Join(aHost, aOrder, aNow);
      case order_kind::open:
        return Open(aHost, aOrder, aNow);
      case order_kind::close:
        return Close(aHost, aOrder);
      case order_kind::leave:
        return Leave(aHost, aOrder);
      case order_kind::stage:
        CountLoad(aHost, aOrder.model, aNow);
        aHost.self.stagedModels = { aOrder.model };
        return order_outcome::begun;
    }
    return order_outcome::invalid;
  }

  void AdvanceGroup(time_point aNow)
  {
    for (auto& [id, one] : hosts) {
      if (!one.self.membership) {
        continue;
      }
      fleet::member_phase& phase = one.self.membership->phase;
      if (phase == fleet::member_phase::joining && aNow >= one.readyAt) {
        phase = fleet::member_phase::ready;
        one.self.model = mJoining[id];
        one.self.stagedModels = { one.self.model };
        one.lastGroupModel = one.self.model;
        mReady.insert({ id, one.self.membership->group, one.self.membership->epoch });
      }
      if (one.openAt.ms > 0 && aNow >= one.openAt && phase == fleet::member_phase::ready) {
        phase = fleet::member_phase::open;
        one.openAt = {};
      }
    }
  }

  [[nodiscard]] std::size_t OpenGroups() const
  {
    return static_cast<std::size_t>(
      std::count_if(hosts.begin(), hosts.end(), [](const auto& aEntry) {
        const auto& member = aEntry.second.self.membership;
        return aEntry.second.alive && member && member->phase == fleet::member_phase::open;
      }));
  }

  /// Instances that are members of a group.
  [[nodiscard]] std::size_t Members() const
  {
    return static_cast<std::size_t>(
      std::count_if(hosts.begin(), hosts.end(), [](const auto& aEntry) {
        return aEntry.second.self.membership.has_value();
      }));
  }

  routes::service_profile service;
  std::map<instance_id, host> hosts;
  std::vector<std::string> broken;
  /// When weights began to come from the weight store.
  std::vector<time_point> loads;

private:
  using readiness = std::tuple<instance_id, group_id, generation>;

  [[nodiscard]] static bool IsMemberOf(const host& aHost, const engine_order& aOrder)
  {
    return aHost.self.membership && aHost.self.membership->group == aOrder.group &&
           aHost.self.membership->epoch == aOrder.epoch;
  }

  /// The head of a host's group takes requests, or would again.
  [[nodiscard]] bool HeadServes(const host& aHost) const
  {
    const fleet::group_membership& own = *aHost.self.membership;
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto& aEntry) {
      const auto& member = aEntry.second.self.membership;
      return aEntry.second.alive && member && member->group == own.group &&
             member->epoch == own.epoch && member->rank == 0 &&
             (member->phase == fleet::member_phase::open ||
              member->phase == fleet::member_phase::closing);
    });
  }

  order_outcome Join(host& aHost, const engine_order& aOrder, time_point aNow)
  {
    if (aOrder.epoch.value < aHost.highestEpoch) {
      return order_outcome::superseded;
    }
    if (IsMemberOf(aHost, aOrder)) {
      return aHost.members == aOrder.members ? order_outcome::done : order_outcome::superseded;
    }
    if (aHost.self.membership && HeadServes(aHost)) {
      broken.push_back("TWO " + aHost.self.id.value + " of " + aHost.self.membership->group.value);
    }
    aHost.highestEpoch = aOrder.epoch.value;
    ++aHost.self.acceptedOrders;
    const auto place = std::find(aOrder.members.begin(), aOrder.members.end(), aHost.self.id);
    aHost.self.membership =
      fleet::group_membership{ aOrder.group,
                               aOrder.epoch,
                               static_cast<std::size_t>(place - aOrder.members.begin()),
                               fleet::member_phase::joining };
    aHost.members = aOrder.members;
    aHost.openAt = {};
    mJoining[aHost.self.id] = aOrder.model;
    CountLoad(aHost, aOrder.model, aNow);
    const bool same = aHost.lastGroupModel == aOrder.model;
    aHost.readyAt = aNow + (same ? 200_ms : 1200_ms);
    return order_outcome::begun;
  }

  void CountLoad(const host& aHost, const routes::model_name& aModel, time_point aNow)
  {
    const auto& staged = aHost.self.stagedModels;
    if (std::find(staged.begin(), staged.end(), aModel) == staged.end()) {
      loads.push_back(aNow);
    }
  }

  order_outcome Open(host& aHost, const engine_order& aOrder, time_point aNow)
  {
    if (!IsMemberOf(aHost, aOrder)) {
      return order_outcome::conflict;
    }
    if (aHost.self.membership->phase == fleet::member_phase::open) {
      return order_outcome::done;
    }
    if (aHost.self.membership->phase != fleet::member_phase::ready) {
      return order_outcome::conflict;
    }
    for (const instance_id& member : aHost.members) {
      if (mReady.count({ member, aOrder.group, aOrder.epoch }) == 0) {
        broken.push_back("PARTIAL " + aOrder.group.value + " without " + member.value);
      }
    }
    ++aHost.self.acceptedOrders;
    aHost.openAt = aNow + 300_ms;
    return order_outcome::begun;
  }

  order_outcome Close(host& aHost, const engine_order& aOrder)
  {
    if (!IsMemberOf(aHost, aOrder)) {
      return order_outcome::conflict;
    }
    aHost.self.membership->phase = fleet::member_phase::ready;
    return order_outcome::begun;
  }

  order_outcome Leave(host& aHost, const engine_order& aOrder)
  {
    if (!IsMemberOf(aHost, aOrder)) {
      return order_outcome::conflict;
    }
    aHost.self.membership.reset();
    aHost.openAt = {};
    return order_outcome::begun;
  }

  std::uint64_t mLives = 0;
  std::map<instance_id, routes::model_name> mJoining;
  std::set<readiness> mReady;
};

} // namespace persimmon::assembly
