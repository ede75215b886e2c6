#pragma once

#include "assembly/assemblyaction.h"
#include "assembly/orderoutcome.h"
#include "fleet/fleetview.h"
#include "fleet/reportresult.h"
#include "routes/serviceprofile.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::assembly {

/// Simulates engine instances without sockets. They execute orders, load weights and form groups.
/// Each violation of an invariant of group_controller is recorded.
class engine_simulator
{
public:
  struct engine
  {
    /// Registry entry, which always shows the actual state of the engine.
    fleet::instance entry;
    bool alive = true;
    /// False once its entry is gone.
    bool registered = true;
    /// True when the prober is late itself and misses the answers.
    bool answersLate = false;
    /// True when probes and orders reach the engine.
    bool reachable = true;
    /// False when the engine accepts no connection while it can't be reached.
    bool acceptsConnections = true;
    /// Requests that it reports to run, as the head of a group.
    std::uint64_t running = 0;
    /// True when the answers to orders are lost.
    bool dropsReplies = false;
    /// When the joining engine becomes ready.
    time_point readyAt;
    /// When the ordered opening takes effect; 0 when none is pending.
    time_point openAt;
    /// Members of the engine's group, as the order to join listed them.
    std::vector<instance_id> members;
    std::uint64_t highestEpoch = 0;
    std::uint64_t highestToken = 0;
    routes::model_name lastGroupModel;
    /// Its states of the last reportLag, in the order of time, with the time of each.
    std::deque<std::pair<time_point, fleet::instance>> formerStates;
  };

  engine_simulator()
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

  /// Adds an engine that is alive, reachable and in no group.
  void Add(const std::string& aId, const std::string& aDomain)
  {
    engine added;
    added.entry.id = { aId };
    added.entry.service = service.name;
    added.entry.address = { aId + ":80" };
    added.entry.incarnationId = { ++mLastIncarnation };
    added.entry.domain = { aDomain };
    engines[added.entry.id] = added;
  }

  /// Starts an engine in a new incarnation. Its staged weights stay on the host.
  void Restart(engine& aEngine)
  {
    const fleet::instance old = aEngine.entry;
    aEngine = {};
    aEngine.entry = old;
    aEngine.entry.incarnationId = { ++mLastIncarnation };
    aEngine.entry.membership.reset();
    aEngine.entry.model = {};
    aEngine.entry.acceptedOrders = 0;
  }

  /// Returns the registry: all engines, including dead ones, whose entries have not expired.
  [[nodiscard]] fleet::fleet_view View() const
  {
    fleet::fleet_view view;
    for (const auto& [id, target] : engines) {
      if (target.registered) {
        fleet::instance shown = target.entry;
        shown.membership = ShownState(target).membership;
        view.Upsert(shown);
      }
    }
    return view;
  }

  /// Returns the report of an engine. A dead one refuses connections, an unreachable one is silent.
  fleet::report_result Probe(const instance_id& aId) const
  {
    const engine& target = engines.at(aId);
    if (target.answersLate) {
      return { std::nullopt, fleet::report_failure::inconclusive };
    }
    if (!target.reachable) {
      return { std::nullopt,
               target.acceptsConnections ? fleet::report_failure::no_answer
                                         : fleet::report_failure::unreachable };
    }
    if (!target.alive) {
      return { std::nullopt, fleet::report_failure::refused };
    }
    const fleet::instance& shown = ShownState(target);
    fleet::engine_report report;
    report.incarnationId = target.entry.incarnationId;
    report.model = shown.model;
    report.stagedModels = shown.stagedModels;
    report.membership = shown.membership;
    report.acceptedOrders = shown.acceptedOrders;
    report.running = target.running;
    return { report, {} };
  }

  /// Sends an order to an engine and returns the outcome that the sender observes.
  order_outcome SendOrder(const engine_order& aOrder, time_point aNow)
  {
    engine& target = engines.at(aOrder.instance);
    if (!target.alive || !target.reachable) {
      return order_outcome::not_sent;
    }
    const order_outcome outcome = Execute(target, aOrder, aNow);
    return target.dropsReplies ? order_outcome::unknown : outcome;
  }

  /// Executes an order on an engine even when it is unreachable, as for an order that was delayed
  /// on its way.
  order_outcome Execute(engine& aEngine, const engine_order& aOrder, time_point aNow)
  {
    if (!aEngine.alive) {
      return order_outcome::not_sent;
    }
    if (enforcesTokens && aOrder.token.value < aEngine.highestToken) {
      return order_outcome::superseded;
    }
    aEngine.highestToken = aOrder.token.value;
    if (aOrder.expectedOrders && *aOrder.expectedOrders != aEngine.entry.acceptedOrders) {
      return order_outcome::conflict;
    }
    switch (aOrder.kind) {
      case order_kind::join:
        return Join(aEngine, aOrder, aNow);
      case order_kind::open:
        return Open(aEngine, aOrder, aNow);
      case order_kind::close:
        return Close(aEngine, aOrder);
      case order_kind::leave:
        return Leave(aEngine, aOrder);
      case order_kind::stage:
        RecordLoad(aEngine, aOrder.model, aNow);
        ++aEngine.entry.acceptedOrders;
        aEngine.entry.stagedModels = { aOrder.model };
        return order_outcome::begun;
    }
    return order_outcome::invalid;
  }

  /// Performs the phase changes that are due.
  void Advance(time_point aNow)
  {
    mNow = aNow;
    for (auto& [id, target] : engines) {
      KeepState(target);
      if (!target.entry.membership) {
        continue;
      }
      fleet::member_phase& phase = target.entry.membership->phase;
      if (phase == fleet::member_phase::joining && aNow >= target.readyAt) {
        phase = fleet::member_phase::ready;
        target.entry.model = mModelToLoad[id];
        target.entry.stagedModels = { target.entry.model };
        target.lastGroupModel = target.entry.model;
        mReadyMembers.insert(
          { id, target.entry.membership->group, target.entry.membership->epoch });
      }
      if (target.openAt.ms > 0 && aNow >= target.openAt && phase == fleet::member_phase::ready) {
        phase = fleet::member_phase::open;
        target.openAt = {};
      }
    }
  }

  /// Returns the number of groups whose head is alive and open.
  [[nodiscard]] std::size_t CountOpenGroups() const
  {
    return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [](const auto& aEntry) {
        const auto& membership = aEntry.second.entry.membership;
        return aEntry.second.alive && membership && membership->phase == fleet::member_phase::open;
      }));
  }

  /// Returns the number of engines that are in a group.
  [[nodiscard]] std::size_t CountMembers() const
  {
    return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [](const auto& aEntry) {
        return aEntry.second.entry.membership.has_value();
      }));
  }

  routes::service_profile service;
  std::map<instance_id, engine> engines;
  /// Descriptions of the violated invariants.
  std::vector<std::string> violations;
  /// Number of orders to leave that the heads of open groups carried out.
  std::size_t leavesOfOpenHeads = 0;
  /// Number of orders to join that took an engine out of a group in which its head still was.
  std::size_t joinsBesideAHead = 0;
  /// Start times of the loads from the weight store.
  std::vector<time_point> loadStarts;
  /// False for engines that do not check the tokens of orders.
  bool enforcesTokens = true;
  /// Time for which reports lag behind, and for which entries still show a former membership.
  duration reportLag;

private:
  using ready_member = std::tuple<instance_id, group_id, generation>;

  [[nodiscard]] static bool IsMemberOf(const engine& aEngine, const engine_order& aOrder)
  {
    return aEngine.entry.membership && aEngine.entry.membership->group == aOrder.group &&
           aEngine.entry.membership->epoch == aOrder.epoch;
  }

  /// Returns the state that reports show now.
  [[nodiscard]] const fleet::instance& ShownState(const engine& aEngine) const
  {
    const bool isCurrent = reportLag.ms == 0 || aEngine.formerStates.empty();
    return isCurrent ? aEngine.entry : aEngine.formerStates.front().second;
  }

  /// Records the state of an engine at this time, and forgets what reports show no longer.
  void KeepState(engine& aEngine) const
  {
    auto& states = aEngine.formerStates;
    states.emplace_back(mNow, aEngine.entry);
    while (states.size() > 1 && states[1].first <= mNow - reportLag) {
      states.pop_front();
    }
  }

  /// Returns the head of an engine's group; nullptr when none is alive and in it.
  [[nodiscard]] const engine* HeadOf(const engine& aEngine) const
  {
    const fleet::group_membership& own = *aEngine.entry.membership;
    for (const auto& [id, candidate] : engines) {
      const auto& membership = candidate.entry.membership;
      if (candidate.alive && membership && membership->rank == 0 &&
          membership->group == own.group && membership->epoch == own.epoch) {
        return &candidate;
      }
    }
    return nullptr;
  }

  /// Returns true when the head of an engine's group is alive and open or closing.
  [[nodiscard]] bool HeadIsServing(const engine& aEngine) const
  {
    const engine* head = HeadOf(aEngine);
    const auto phase =
      head == nullptr ? fleet::member_phase::joining : head->entry.membership->phase;
    return phase == fleet::member_phase::open || phase == fleet::member_phase::closing;
  }

  /// Executes an order to join; a violation is recorded when the former group is still served.
  order_outcome Join(engine& aEngine, const engine_order& aOrder, time_point aNow)
  {
    if (aOrder.epoch.value < aEngine.highestEpoch) {
      return order_outcome::superseded;
    }
    if (IsMemberOf(aEngine, aOrder)) {
      return aEngine.members == aOrder.members ? order_outcome::done : order_outcome::superseded;
    }
    if (aEngine.entry.membership && HeadIsServing(aEngine)) {
      violations.push_back(aEngine.entry.id.value +
                           " was ordered to join another group while the head of " +
                           aEngine.entry.membership->group.value + " still serves");
    }
    joinsBesideAHead += aEngine.entry.membership && HeadOf(aEngine) != nullptr ? 1 : 0;
    aEngine.highestEpoch = aOrder.epoch.value;
    ++aEngine.entry.acceptedOrders;
    const auto position = std::find(aOrder.members.begin(), aOrder.members.end(), aEngine.entry.id);
    aEngine.entry.membership =
      fleet::group_membership{ aOrder.group,
                               aOrder.epoch,
                               static_cast<std::size_t>(position - aOrder.members.begin()),
                               fleet::member_phase::joining };
    aEngine.members = aOrder.members;
    aEngine.openAt = {};
    mModelToLoad[aEngine.entry.id] = aOrder.model;
    RecordLoad(aEngine, aOrder.model, aNow);
    const bool sameModel = aEngine.lastGroupModel == aOrder.model;
    aEngine.readyAt = aNow + (sameModel ? 200_ms : 1200_ms);
    return order_outcome::begun;
  }

  /// Records the start of a load, unless the engine already has the weights.
  void RecordLoad(const engine& aEngine, const routes::model_name& aModel, time_point aNow)
  {
    const auto& staged = aEngine.entry.stagedModels;
    if (std::find(staged.begin(), staged.end(), aModel) == staged.end()) {
      loadStarts.push_back(aNow);
    }
  }

  /// Executes an order to open; a violation is recorded for each member that was never ready.
  order_outcome Open(engine& aEngine, const engine_order& aOrder, time_point aNow)
  {
    if (!IsMemberOf(aEngine, aOrder)) {
      return order_outcome::conflict;
    }
    if (aEngine.entry.membership->phase == fleet::member_phase::open) {
      return order_outcome::done;
    }
    if (aEngine.entry.membership->phase != fleet::member_phase::ready) {
      return order_outcome::conflict;
    }
    for (const instance_id& member : aEngine.members) {
      if (mReadyMembers.count({ member, aOrder.group, aOrder.epoch }) == 0) {
        violations.push_back(aOrder.group.value + " was ordered to open before member " +
                             member.value + " was ready");
      }
    }
    ++aEngine.entry.acceptedOrders;
    aEngine.openAt = aNow + 300_ms;
    return order_outcome::begun;
  }

  order_outcome Close(engine& aEngine, const engine_order& aOrder)
  {
    if (!IsMemberOf(aEngine, aOrder)) {
      return order_outcome::conflict;
    }
    if (aEngine.entry.membership->phase == fleet::member_phase::ready && aEngine.openAt.ms == 0) {
      return order_outcome::done;
    }
    ++aEngine.entry.acceptedOrders;
    aEngine.openAt = {};
    aEngine.entry.membership->phase =
      aEngine.running > 0 ? fleet::member_phase::closing : fleet::member_phase::ready;
    return order_outcome::begun;
  }

  order_outcome Leave(engine& aEngine, const engine_order& aOrder)
  {
    if (!IsMemberOf(aEngine, aOrder)) {
      return order_outcome::conflict;
    }
    ++aEngine.entry.acceptedOrders;
    leavesOfOpenHeads += aEngine.entry.membership->phase == fleet::member_phase::open ? 1 : 0;
    aEngine.entry.membership.reset();
    aEngine.openAt = {};
    // Leaving takes effect at once.
    return order_outcome::done;
  }

  time_point mNow;
  std::uint64_t mLastIncarnation = 0;
  /// Model of the latest order to join of each engine.
  std::map<instance_id, routes::model_name> mModelToLoad;
  /// Each membership that has become ready.
  std::set<ready_member> mReadyMembers;
};

} // namespace persimmon::assembly
