#pragma once

#include "assembly/groupcontroller.h"
#include "assembly/tests/mocks/enginesimulator.h"

#include <functional>
#include <optional>
#include <vector>

namespace persimmon::assembly {

/// A simulated fleet and one group controller, with time that the test controls.
struct controller_fixture
{
  engine_simulator simulator;
  group_controller controller{ simulator.service, assembly_options{} };
  time_point now{ 100000 };
  /// All orders that were sent, in the order of sending.
  std::vector<engine_order> sentOrders;
  /// Orders that were sent but not delivered because holdOrders was set.
  std::vector<engine_order> heldOrders;
  /// True while orders are held back; their outcome is unknown to the sender.
  bool holdOrders = false;
  /// An order that gets no answer and is carried out later.
  struct late_order
  {
    engine_order order;
    time_point due;
  };
  std::vector<late_order> lateOrders;
  /// Returns how late an order is carried out; empty for one that is answered. May be empty.
  std::function<std::optional<duration>(const engine_order&)> lateness;
  /// Number of orders that were rejected since they did not fit.
  std::size_t conflictCount = 0;
  /// Number of probes.
  std::size_t probeCount = 0;

  /// Adds aInstances instances in each of aDomains domains.
  void AddInstances(std::size_t aDomains, std::size_t aInstances)
  {
    for (std::size_t domain = 0; domain < aDomains; ++domain) {
      for (std::size_t i = 0; i < aInstances; ++i) {
        simulator.Add("h" + std::to_string(domain) + "-" + std::to_string(i),
                      "d" + std::to_string(domain));
      }
    }
  }

  /// Reconciles once and performs the resulting actions.
  void Step(group_controller& aController)
  {
    simulator.Advance(now);
    CarryOutLateOrders();
    for (const assembly_action& action : aController.Reconcile(simulator.View(), now)) {
      if (const auto* probe = std::get_if<probe_instance>(&action)) {
        ++probeCount;
        aController.HandleReport(probe->instance, simulator.Probe(probe->instance), now);
      } else if (const auto* send = std::get_if<send_order>(&action)) {
        sentOrders.push_back(send->order);
        const auto late = lateness ? lateness(send->order) : std::nullopt;
        if (late) {
          lateOrders.push_back({ send->order, now + *late });
          aController.HandleOrderOutcome(send->id, order_outcome::unknown, now);
        } else if (holdOrders) {
          heldOrders.push_back(send->order);
          aController.HandleOrderOutcome(send->id, order_outcome::unknown, now);
        } else {
          const order_outcome outcome = simulator.SendOrder(send->order, now);
          conflictCount += outcome == order_outcome::conflict ? 1 : 0;
          aController.HandleOrderOutcome(send->id, outcome, now);
        }
      }
    }
  }

  /// Carries out the late orders that are due.
  void CarryOutLateOrders()
  {
    std::erase_if(lateOrders, [this](const late_order& aLate) {
      const auto target = simulator.engines.find(aLate.order.instance);
      if (aLate.due > now) {
        return false;
      }
      if (target != simulator.engines.end()) {
        simulator.Execute(target->second, aLate.order, now);
      }
      return true;
    });
  }

  /// Delivers the orders that were held back.
  void DeliverHeldOrders()
  {
    for (const engine_order& order : heldOrders) {
      simulator.Execute(simulator.engines.at(order.instance), order, now);
    }
    heldOrders.clear();
  }

  /// Steps the controller every 50 ms for a span of time.
  void RunFor(duration aSpan)
  {
    const time_point end = now + aSpan;
    while (now < end) {
      now = now + 50_ms;
      Step(controller);
    }
  }

  /// Returns a reachable engine that is the head of a group, or one that is another member; nullptr
  /// when there is none.
  engine_simulator::engine* FindMember(bool aHead)
  {
    for (auto& [id, engine] : simulator.engines) {
      const auto& membership = engine.entry.membership;
      if (engine.alive && engine.reachable && membership && (membership->rank == 0) == aHead) {
        return &engine;
      }
    }
    return nullptr;
  }
};

} // namespace persimmon::assembly
