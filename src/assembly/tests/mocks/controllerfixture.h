#pragma once

#include "assembly/groupcontroller.h"
#include "assembly/tests/mocks/enginesimulator.h"

#include <vector>

namespace persimmon::assembly {

/// Engines and one assembler that leads, with time that a test sets.
struct assembly_rig
{
  engine_sim engines;
  group_controller leader{ engines.service, assembly_options{} };
  time_point now{ 100000 };
  /// Orders that were given, in order.
  std::vector<engine_order> given;
  /// Orders that are on their way for long, when held is set.
  std::vector<engine_order> held;
  bool holds = false;
  /// Questions that were asked.
  std::size_t questions = 0;

  void Fill(std::size_t aDomains, std::size_t aHosts)
  {
    for (std::size_t domain = 0; domain < aDomains; ++domain) {
      for (std::size_t i = 0; i < aHosts; ++i) {
        engines.Add("h" + std::to_string(domain) + "-" + std::to_string(i),
                    "d" + std::to_string(domain));
      }
    }
  }

  void Step(group_controller& aWho)
  {
    engines.AdvanceGroup(now);
    for (const assembly_action& action : aWho.Reconcile(engines.View(), now)) {
      if (const auto* ask = std::get_if<probe_instance>(&action)) {
        ++questions;
        aWho.HandleReport(ask->instance, engines.Report(ask->instance), now);
      } else if (const auto* give = std::get_if<send_order>(&action)) {
        given.push_back(give->order);
        if (holds) {
          held.push_back(give->order);
          aWho.HandleOrderOutcome(give->id, order_outcome::unknown, now);
        } else {
          aWho.HandleOrderOutcome(give->id, engines.SendOrder(give->order, now), now);
        }
      }
    }
  }

  /// Carries out the orders that were held up.
  void Land()
  {
    for (const engine_order& order : held) {
      engines.Take(engines.hosts.at(order.instance), order, now);
    }
    held.clear();
  }

  void Run(duration aSpan)
  {
    const time_point end = now + aSpan;
    while (now < end) {
      now = now + 50_ms;
      Step(leader);
    }
  }

  /// Returns a host that is the head of an open group, or a member that is not.
  engine_sim::host* Member(bool aHead)
  {
    for (auto& [id, one] : engines.hosts) {
      const auto& member = one.self.membership;
      if (one.alive && one.reachable && member && (member->rank == 0) == aHead) {
        return &one;
      }
    }
    return nullptr;
  }
};

} // namespace persimmon::assembly
