#pragma once

#include "base/random.h"
#include "placement/placercore.h"
#include "placement/tests/mocks/fakeengine.h"
#include "platform/tests/mocks/memoryobjectstore.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace persimmon::placement {

/// Simulates several placers with one object store and fake engines in simulated time.
class placement_harness
{
public:
  struct network
  {
    duration storeDelay{ 2 };
    duration engineDelay{ 2 };
    duration readTimeout{ 1000 };
    duration tick{ 100 };
    duration listLag{ 1000 };
    /// Longest delay until a watch reports a change.
    duration watchPoll{ 20 };
    /// Probability, per call, that the reply to a write is lost, that a write is applied late, or
    /// that an order is delivered late without an answer.
    double loseReplyProbability = 0;
    double delayWriteProbability = 0;
    double delayOrderProbability = 0;
  };

  struct simulated_placer
  {
    placer_options options;
    std::unique_ptr<placer_core> core;
    std::unique_ptr<platform::memory_object_store> store;
    bool alive = true;
    bool paused = false;
    /// Lists of objects fail, while writes succeed.
    bool listCallsFail = false;
    /// Number of process starts and kills; steps of an earlier process are discarded.
    std::uint64_t process = 0;
    /// Steps that became due while the placer was paused.
    std::deque<std::function<void()>> deferred;
    /// Revision up to which the watch has reported changes.
    revision watchedUpTo;
  };

  /// Called for each order before it is sent.
  std::function<void(const send_order&, const simulated_placer&)> beforeSend;
  /// Called before an action of a placer is executed.
  std::function<void(const placement_action&, simulated_placer&)> beforeExecute;
  /// Called after each simulated step.
  std::function<void()> afterStep;

  network net;
  platform::memory_object_store::content content;
  engine_map engines;
  fake_weights weights;
  std::vector<std::unique_ptr<simulated_placer>> placers;
  bool storeDown = false;
  std::uint64_t storeReads = 0;
  std::uint64_t storeWrites = 0;
  std::uint64_t leaseWrites = 0;
  std::uint64_t watchCalls = 0;
  std::uint64_t listCalls = 0;
  /// Number of orders delivered to engines.
  std::uint64_t deliveredOrders = 0;

  explicit placement_harness(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  [[nodiscard]] time_point Now() const { return mNow; }
  random_source& Random() { return mRandom; }

  void AddInstances(const std::string& aDomain,
                    const std::string& aZone,
                    int aCount,
                    bool aFencing = true)
  {
    for (int index = 0; index < aCount; ++index) {
      fake_engine engine;
      engine.listed.id.value = aDomain + "-" + std::to_string(1000 + index).substr(1);
      engine.listed.address.value = "10.0.0.1:" + std::to_string(engines.size() + 1);
      engine.listed.zone.value = aZone;
      engine.listed.domain.value = aDomain;
      engine.listed.incarnation.value = 1;
      engine.listed.checksFencingTokens = aFencing;
      engines[engine.listed.id] = engine;
    }
  }

  simulated_placer& AddPlacer(placer_options aOptions)
  {
    placers.push_back(std::make_unique<simulated_placer>());
    simulated_placer& placer = *placers.back();
    placer.options = std::move(aOptions);
    placer.store = std::make_unique<platform::memory_object_store>(content);
    StartPlacer(placer);
    return placer;
  }

  void KillPlacer(simulated_placer& aPlacer)
  {
    aPlacer.alive = false;
    aPlacer.deferred.clear();
    ++aPlacer.process;
  }

  void StartPlacer(simulated_placer& aPlacer)
  {
    placer_options options = aPlacer.options;
    options.self.value += "-" + std::to_string(++aPlacer.process);
    aPlacer.core = std::make_unique<placer_core>(options, mRandom.Next());
    aPlacer.alive = true;
    aPlacer.paused = false;
    aPlacer.watchedUpTo = {};
    for (const char* kind : { kServiceKind, kDomainKind, kPlanKind }) {
      ListAtStart(aPlacer, aPlacer.process, kind);
    }
    Tick(aPlacer, aPlacer.process);
    Watch(aPlacer, aPlacer.process);
    ListInstances(aPlacer, aPlacer.process);
  }

  void Pause(simulated_placer& aPlacer) { aPlacer.paused = true; }
  void Resume(simulated_placer& aPlacer)
  {
    aPlacer.paused = false;
    auto deferred = std::move(aPlacer.deferred);
    aPlacer.deferred.clear();
    for (auto& step : deferred) {
      At(mNow, std::move(step));
    }
  }

  void PutDocument(const service_document& aDocument)
  {
    platform::memory_object_store store(content);
    const platform::object_key key{ kServiceKind, aDocument.service.value };
    const auto before = store.Get(key);
    platform::write_condition condition;
    if (before) {
      condition.expected = before->version;
    }
    store.Put(key, RenderServiceDocument(aDocument), condition);
  }

  void At(time_point aWhen, std::function<void()> aStep)
  {
    mQueue.push({ aWhen, mSequence++, std::move(aStep) });
  }

  void After(duration aDelay, std::function<void()> aStep) { At(mNow + aDelay, std::move(aStep)); }

  void RunUntil(time_point aEnd)
  {
    while (!mQueue.empty() && mQueue.top().when <= aEnd) {
      scheduled_step next = mQueue.top();
      mQueue.pop();
      mNow = std::max(mNow, next.when);
      next.step();
      if (afterStep) {
        afterStep();
      }
    }
    mNow = aEnd;
  }

  void RunFor(duration aDuration) { RunUntil(mNow + aDuration); }

  /// Stops an engine's process; reads of it are refused.
  void Kill(fake_engine& aEngine)
  {
    aEngine.up = false;
    aEngine.unresponsiveSince = mNow;
  }
  /// Makes an engine stop answering.
  void PauseEngine(fake_engine& aEngine)
  {
    aEngine.paused = true;
    aEngine.unresponsiveSince = mNow;
  }

  [[nodiscard]] std::vector<domain_table> Tables() const
  {
    std::vector<domain_table> tables;
    for (const auto& [key, object] : content.objects) {
      table_reason why;
      if (key.kind == kDomainKind) {
        tables.push_back(*ParseDomainTable(object.value, why));
      }
    }
    return tables;
  }

  /// Returns whether routers would send requests to a group: its head answers and has recently
  /// received messages from all of its members in the group's generation.
  [[nodiscard]] bool IsEligible(const group& aGroup) const
  {
    if (aGroup.state != group_state::serving || aGroup.members.empty()) {
      return false;
    }
    const auto found = engines.find(aGroup.members.front().instance);
    if (found == engines.end() || !found->second.Answers()) {
      return false;
    }
    const member_state head = StateOf(found->second, engines, mNow);
    const bool matchesTable = head.group == aGroup.id && head.version == aGroup.version &&
                              head.state == engine_state::ready && head.rank == 0;
    return matchesTable && !head.members.empty() &&
           std::all_of(
             head.members.begin(), head.members.end(), [&](const member_observation& aObserved) {
               return aObserved.version == aGroup.version &&
                      aObserved.state == engine_state::ready && aObserved.sinceLastMessage < 2_s;
             });
  }

  [[nodiscard]] int CountEligible(const std::string& aService) const
  {
    int count = 0;
    for (const domain_table& table : Tables()) {
      for (const group& entry : table.groups) {
        count += entry.service.value == aService && IsEligible(entry) ? 1 : 0;
      }
    }
    return count;
  }

private:
  struct scheduled_step
  {
    time_point when;
    std::uint64_t sequence;
    std::function<void()> step;

    bool operator<(const scheduled_step& aOther) const
    {
      return std::pair(when, sequence) > std::pair(aOther.when, aOther.sequence);
    }
  };

  /// Runs a step of a placer's process, or defers it until the placer is resumed. Steps of a
  /// process that has ended are discarded.
  void RunUnlessPaused(simulated_placer& aPlacer,
                       std::uint64_t aProcess,
                       const std::function<void()>& aStep)
  {
    if (!aPlacer.alive || aPlacer.process != aProcess) {
      return;
    }
    if (aPlacer.paused) {
      aPlacer.deferred.push_back(
        [this, &aPlacer, aProcess, aStep] { RunUnlessPaused(aPlacer, aProcess, aStep); });
      return;
    }
    aStep();
  }

  void Deliver(simulated_placer& aPlacer, std::uint64_t aProcess, const placement_event& aEvent)
  {
    RunUnlessPaused(aPlacer, aProcess, [this, &aPlacer, aEvent] {
      for (const placement_action& action : aPlacer.core->Handle(aEvent, mNow)) {
        RunUnlessPaused(
          aPlacer, aPlacer.process, [this, &aPlacer, action] { Execute(aPlacer, action); });
      }
    });
  }

  void Reply(simulated_placer& aPlacer,
             std::uint64_t aProcess,
             duration aDelay,
             const placement_event& aEvent)
  {
    After(aDelay, [this, &aPlacer, aProcess, aEvent] { Deliver(aPlacer, aProcess, aEvent); });
  }

  void Tick(simulated_placer& aPlacer, std::uint64_t aProcess)
  {
    After(net.tick, [this, &aPlacer, aProcess] {
      Deliver(aPlacer, aProcess, time_passed{});
      RunUnlessPaused(aPlacer, aProcess, [this, &aPlacer, aProcess] { Tick(aPlacer, aProcess); });
    });
  }

  void ListAtStart(simulated_placer& aPlacer, std::uint64_t aProcess, const char* aKind)
  {
    RunUnlessPaused(aPlacer, aProcess, [this, &aPlacer, aProcess, aKind] {
      aPlacer.store->down = storeDown;
      auto list = aPlacer.store->List(aKind);
      if (list) {
        Reply(aPlacer, aProcess, net.storeDelay, objects_listed{ aKind, list });
      } else {
        After(500_ms, [this, &aPlacer, aProcess, aKind] { ListAtStart(aPlacer, aProcess, aKind); });
      }
    });
  }

  void Watch(simulated_placer& aPlacer, std::uint64_t aProcess)
  {
    After(net.storeDelay, [this, &aPlacer, aProcess] {
      RunUnlessPaused(aPlacer, aProcess, [this, &aPlacer, aProcess] {
        const auto hasChanges = content.last > aPlacer.watchedUpTo && !storeDown;
        if (hasChanges) {
          objects_changed changed;
          for (const auto& change : content.history) {
            const bool wanted = change.key.kind == kServiceKind || change.key.kind == kDomainKind ||
                                change.key.kind == kPlanKind;
            if (wanted && change.version > aPlacer.watchedUpTo) {
              changed.changes.push_back(change);
            }
          }
          aPlacer.watchedUpTo = content.last;
          if (!changed.changes.empty()) {
            ++watchCalls;
            Reply(aPlacer, aProcess, net.storeDelay, changed);
          }
        }
        After(net.watchPoll, [this, &aPlacer, aProcess] { Watch(aPlacer, aProcess); });
      });
    });
  }

  void ListInstances(simulated_placer& aPlacer, std::uint64_t aProcess)
  {
    RunUnlessPaused(aPlacer, aProcess, [this, &aPlacer, aProcess] {
      instances_listed listed;
      for (const auto& [id, engine] : engines) {
        listed.instances.push_back(engine.listed);
        listed.instances.back().leaving = engine.leaving;
      }
      ++listCalls;
      Reply(aPlacer, aProcess, net.listLag, listed);
      After(2000_ms, [this, &aPlacer, aProcess] { ListInstances(aPlacer, aProcess); });
    });
  }

  void Execute(simulated_placer& aPlacer, placement_action aAction)
  {
    const std::uint64_t process = aPlacer.process;
    if (beforeExecute) {
      beforeExecute(aAction, aPlacer);
    }
    if (const auto* write = std::get_if<write_object>(&aAction)) {
      After(net.storeDelay,
            [this, &aPlacer, process, write = *write] { Put(aPlacer, process, write); });
    } else if (const auto* drop = std::get_if<delete_object>(&aAction)) {
      aPlacer.store->down = storeDown;
      const auto version = aPlacer.store->Delete(drop->key, drop->expected);
      const auto error = aPlacer.store->LastFailure().code;
      Reply(aPlacer, process, net.storeDelay, object_written{ drop->key, version, error });
    } else if (const auto* read = std::get_if<read_object>(&aAction)) {
      After(net.storeDelay, [this, &aPlacer, process, key = read->key] {
        aPlacer.store->down = storeDown;
        ++storeReads;
        auto object = aPlacer.store->Get(key);
        const auto error = aPlacer.store->LastFailure().code;
        Reply(aPlacer, process, net.storeDelay, object_read{ key, object, error });
      });
    } else if (const auto* list = std::get_if<list_objects>(&aAction)) {
      After(net.storeDelay, [this, &aPlacer, process, kind = list->kind] {
        aPlacer.store->down = storeDown || aPlacer.listCallsFail;
        ++storeReads;
        Reply(aPlacer, process, net.storeDelay, objects_listed{ kind, aPlacer.store->List(kind) });
      });
    } else if (const auto* order = std::get_if<send_order>(&aAction)) {
      // A separate step, so that a pause can happen between the decision and the send.
      After({}, [this, &aPlacer, process, order = *order] {
        RunUnlessPaused(aPlacer, process, [this, &aPlacer, process, order] {
          SendOrder(aPlacer, process, order);
        });
      });
    } else if (const auto* ask = std::get_if<read_member>(&aAction)) {
      ReadMember(aPlacer, process, ask->instance);
    }
  }

  void Put(simulated_placer& aPlacer, std::uint64_t aProcess, const write_object& aWrite)
  {
    aPlacer.store->down = storeDown;
    const bool delayed = mRandom.Chance(net.delayWriteProbability);
    aPlacer.store->delayNextWrite = delayed && !storeDown;
    aPlacer.store->loseNextReply =
      !delayed && !storeDown && mRandom.Chance(net.loseReplyProbability);
    ++(aWrite.key.kind == kLeaseKind ? leaseWrites : storeWrites);
    const auto version = aPlacer.store->Put(aWrite.key, aWrite.value, aWrite.condition);
    const auto error = aPlacer.store->LastFailure().code;
    Reply(aPlacer, aProcess, net.storeDelay, object_written{ aWrite.key, version, error });
    if (delayed) {
      After({ static_cast<std::int64_t>(mRandom.Below(3000)) },
            [&aPlacer] { aPlacer.store->ApplyDelayedWrites(); });
    }
  }

  void SendOrder(simulated_placer& aPlacer, std::uint64_t aProcess, const send_order& aOrder)
  {
    const order_kind kind = aOrder.order.kind;
    if (mNow >= aOrder.notAfter) {
      Reply(aPlacer, aProcess, {}, order_done{ aOrder.instance, kind, order_outcome::not_sent });
      return;
    }
    if (beforeSend) {
      beforeSend(aOrder, aPlacer);
    }
    const bool delayed = mRandom.Chance(net.delayOrderProbability);
    const duration travel =
      delayed ? duration{ static_cast<std::int64_t>(mRandom.Below(12000)) } : net.engineDelay;
    After(travel, [this, &aPlacer, aProcess, aOrder, delayed] {
      fake_engine& engine = engines.at(aOrder.instance);
      if (!engine.Answers()) {
        return;
      }
      ++deliveredOrders;
      const order_outcome outcome = engine.Accept(aOrder.order, weights, mNow);
      if (!delayed) {
        Reply(aPlacer,
              aProcess,
              net.engineDelay,
              order_done{ aOrder.instance, aOrder.order.kind, outcome });
      }
    });
    const bool answered = !delayed && engines.at(aOrder.instance).Answers();
    if (!answered) {
      Reply(aPlacer,
            aProcess,
            net.readTimeout,
            order_done{ aOrder.instance, kind, order_outcome::unknown });
    }
  }

  void ReadMember(simulated_placer& aPlacer, std::uint64_t aProcess, const instance_id& aInstance)
  {
    After(net.engineDelay, [this, &aPlacer, aProcess, aInstance] {
      const auto found = engines.find(aInstance);
      const bool up = found != engines.end() && found->second.up;
      if (!up) {
        Reply(aPlacer, aProcess, net.engineDelay, member_read{ aInstance, std::nullopt, true });
      } else if (found->second.paused) {
        Reply(aPlacer, aProcess, net.readTimeout, member_read{ aInstance, std::nullopt, false });
      } else {
        Reply(aPlacer,
              aProcess,
              net.engineDelay,
              member_read{ aInstance, StateOf(found->second, engines, mNow), false });
      }
    });
  }

  time_point mNow;
  random_source mRandom;
  std::uint64_t mSequence = 0;
  std::priority_queue<scheduled_step> mQueue;
};

} // namespace persimmon::placement
