#pragma once

#include "assembly/assembler.h"
#include "assembly/tests/mocks/enginesim.h"

#include <vector>

namespace persimmon::assembly {

/// Engines and one assembler that leads, with time that a test sets.
struct assembly_rig
{
  engine_sim engines;
  assembler leader{ engines.service, assembly_options{} };
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

  void Step(assembler& aWho)
  {
    engines.Advance(now);
    for (const assembly_action& action : aWho.Step(engines.View(), now)) {
      if (const auto* ask = std::get_if<ask_report>(&action)) {
        ++questions;
        aWho.NoteReport(ask->instance, engines.Report(ask->instance), now);
      } else if (const auto* give = std::get_if<give_order>(&action)) {
        given.push_back(give->order);
        if (holds) {
          held.push_back(give->order);
          aWho.NoteOutcome(give->id, order_outcome::unknown, now);
        } else {
          aWho.NoteOutcome(give->id, engines.Give(give->order, now), now);
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
      const auto& member = one.self.member;
      if (one.alive && one.reachable && member && (member->rank == 0) == aHead) {
        return &one;
      }
    }
    return nullptr;
  }
};

} // namespace persimmon::assembly
