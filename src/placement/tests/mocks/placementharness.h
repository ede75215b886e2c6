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

/// Drives several placers against one store and fake engines in simulated time.
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
    /// How long a change takes to wake a watch, at most.
    duration watchPoll{ 20 };
    /// Probabilities of one call's misfortune.
    double loseReply = 0;
    double delayWrite = 0;
    double delayOrder = 0;
  };

  struct one_placer
  {
    placer_options options;
    std::unique_ptr<placer_core> core;
    std::unique_ptr<platform::memory_object_store> store;
    bool alive = true;
    bool paused = false;
    /// Its lists of leases fail, while its writes go through.
    bool listsFail = false;
    std::uint64_t life = 0;
    std::deque<std::function<void()>> held;
    revision watched;
  };

  /// Called at each order that is sent, before it travels.
  std::function<void(const send_order&, const one_placer&)> onSend;
  /// Called before an action of a placer is carried out.
  std::function<void(const placement_action&, one_placer&)> beforeAction;
  /// Called after each change of the world.
  std::function<void()> onStep;

  network net;
  platform::memory_object_store::content content;
  engine_map engines;
  fake_weights weights;
  std::vector<std::unique_ptr<one_placer>> placers;
  bool storeDown = false;
  std::uint64_t storeReads = 0;
  std::uint64_t storeWrites = 0;
  std::uint64_t leaseWrites = 0;
  std::uint64_t watchCalls = 0;
  std::uint64_t listCalls = 0;
  /// Orders that engines were given.
  std::uint64_t engineChanges = 0;

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

  one_placer& AddPlacer(placer_options aOptions)
  {
    placers.push_back(std::make_unique<one_placer>());
    one_placer& placer = *placers.back();
    placer.options = std::move(aOptions);
    placer.store = std::make_unique<platform::memory_object_store>(content);
    StartPlacer(placer);
    return placer;
  }

  void KillPlacer(one_placer& aPlacer)
  {
    aPlacer.alive = false;
    aPlacer.held.clear();
    ++aPlacer.life;
  }

  void StartPlacer(one_placer& aPlacer)
  {
    placer_options options = aPlacer.options;
    options.self.value += "-" + std::to_string(++aPlacer.life);
    aPlacer.core = std::make_unique<placer_core>(options, mRandom.Next());
    aPlacer.alive = true;
    aPlacer.paused = false;
    aPlacer.watched = {};
    for (const char* kind : { kServiceKind, kDomainKind, kPlanKind }) {
      ListAtStart(aPlacer, aPlacer.life, kind);
    }
    Tick(aPlacer, aPlacer.life);
    Watch(aPlacer, aPlacer.life);
    ListInstances(aPlacer, aPlacer.life);
  }

  void Pause(one_placer& aPlacer) { aPlacer.paused = true; }
  void Wake(one_placer& aPlacer)
  {
    aPlacer.paused = false;
    auto held = std::move(aPlacer.held);
    aPlacer.held.clear();
    for (auto& step : held) {
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

  void After(duration aSpan, std::function<void()> aStep) { At(mNow + aSpan, std::move(aStep)); }

  void RunUntil(time_point aEnd)
  {
    while (!mQueue.empty() && mQueue.top().when <= aEnd) {
      queued next = mQueue.top();
      mQueue.pop();
      mNow = std::max(mNow, next.when);
      next.step();
      if (onStep) {
        onStep();
      }
    }
    mNow = aEnd;
  }

  void RunFor(duration aSpan) { RunUntil(mNow + aSpan); }

  // Failures of instances.
  void Kill(fake_engine& aEngine)
  {
    aEngine.up = false;
    aEngine.awaySince = mNow;
  }
  void PauseEngine(fake_engine& aEngine)
  {
    aEngine.paused = true;
    aEngine.awaySince = mNow;
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

  /// Returns whether routers would send requests to a group: its head answers and hears all the
  /// members it was given in their generation.
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
    const bool named = head.group == aGroup.id && head.version == aGroup.version &&
                       head.state == engine_state::ready && head.rank == 0;
    return named && !head.members.empty() &&
           std::all_of(head.members.begin(), head.members.end(), [&](const heard_member& aHeard) {
             return aHeard.version == aGroup.version && aHeard.state == engine_state::ready &&
                    aHeard.heard < 2_s;
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
  struct queued
  {
    time_point when;
    std::uint64_t sequence;
    std::function<void()> step;

    bool operator<(const queued& aOther) const
    {
      return std::pair(when, sequence) > std::pair(aOther.when, aOther.sequence);
    }
  };

  /// Runs a step of a placer's life; one that is paused runs it when it wakes.
  void RunIn(one_placer& aPlacer, std::uint64_t aLife, const std::function<void()>& aStep)
  {
    if (!aPlacer.alive || aPlacer.life != aLife) {
      return;
    }
    if (aPlacer.paused) {
      aPlacer.held.push_back([this, &aPlacer, aLife, aStep] { RunIn(aPlacer, aLife, aStep); });
      return;
    }
    aStep();
  }

  void Tell(one_placer& aPlacer, std::uint64_t aLife, const placement_event& aEvent)
  {
    RunIn(aPlacer, aLife, [this, &aPlacer, aEvent] {
      for (const placement_action& action : aPlacer.core->Handle(aEvent, mNow)) {
        RunIn(aPlacer, aPlacer.life, [this, &aPlacer, action] { Carry(aPlacer, action); });
      }
    });
  }

  void Reply(one_placer& aPlacer,
             std::uint64_t aLife,
             duration aDelay,
             const placement_event& aEvent)
  {
    After(aDelay, [this, &aPlacer, aLife, aEvent] { Tell(aPlacer, aLife, aEvent); });
  }

  void Tick(one_placer& aPlacer, std::uint64_t aLife)
  {
    After(net.tick, [this, &aPlacer, aLife] {
      Tell(aPlacer, aLife, time_passed{});
      RunIn(aPlacer, aLife, [this, &aPlacer, aLife] { Tick(aPlacer, aLife); });
    });
  }

  void ListAtStart(one_placer& aPlacer, std::uint64_t aLife, const char* aKind)
  {
    RunIn(aPlacer, aLife, [this, &aPlacer, aLife, aKind] {
      aPlacer.store->down = storeDown;
      auto list = aPlacer.store->List(aKind);
      if (list) {
        Reply(aPlacer, aLife, net.storeDelay, objects_listed{ aKind, list });
      } else {
        After(500_ms, [this, &aPlacer, aLife, aKind] { ListAtStart(aPlacer, aLife, aKind); });
      }
    });
  }

  void Watch(one_placer& aPlacer, std::uint64_t aLife)
  {
    After(net.storeDelay, [this, &aPlacer, aLife] {
      RunIn(aPlacer, aLife, [this, &aPlacer, aLife] {
        const auto fresh = content.last > aPlacer.watched && !storeDown;
        if (fresh) {
          objects_changed changed;
          for (const auto& change : content.history) {
            const bool wanted = change.key.kind == kServiceKind || change.key.kind == kDomainKind ||
                                change.key.kind == kPlanKind;
            if (wanted && change.version > aPlacer.watched) {
              changed.changes.push_back(change);
            }
          }
          aPlacer.watched = content.last;
          if (!changed.changes.empty()) {
            ++watchCalls;
            Reply(aPlacer, aLife, net.storeDelay, changed);
          }
        }
        After(net.watchPoll, [this, &aPlacer, aLife] { Watch(aPlacer, aLife); });
      });
    });
  }

  void ListInstances(one_placer& aPlacer, std::uint64_t aLife)
  {
    RunIn(aPlacer, aLife, [this, &aPlacer, aLife] {
      instances_listed listed;
      for (const auto& [id, engine] : engines) {
        listed.instances.push_back(engine.listed);
        listed.instances.back().leaving = engine.leaving;
      }
      ++listCalls;
      Reply(aPlacer, aLife, net.listLag, listed);
      After(2000_ms, [this, &aPlacer, aLife] { ListInstances(aPlacer, aLife); });
    });
  }

  void Carry(one_placer& aPlacer, placement_action aAction)
  {
    const std::uint64_t life = aPlacer.life;
    if (beforeAction) {
      beforeAction(aAction, aPlacer);
    }
    if (const auto* write = std::get_if<write_object>(&aAction)) {
      After(net.storeDelay, [this, &aPlacer, life, write = *write] { Put(aPlacer, life, write); });
    } else if (const auto* drop = std::get_if<delete_object>(&aAction)) {
      aPlacer.store->down = storeDown;
      const auto version = aPlacer.store->Delete(drop->key, drop->expected);
      const auto error = aPlacer.store->LastFailure().code;
      Reply(aPlacer, life, net.storeDelay, object_written{ drop->key, version, error });
    } else if (const auto* read = std::get_if<read_object>(&aAction)) {
      After(net.storeDelay, [this, &aPlacer, life, key = read->key] {
        aPlacer.store->down = storeDown;
        ++storeReads;
        auto object = aPlacer.store->Get(key);
        const auto error = aPlacer.store->LastFailure().code;
        Reply(aPlacer, life, net.storeDelay, object_read{ key, object, error });
      });
    } else if (const auto* list = std::get_if<list_objects>(&aAction)) {
      After(net.storeDelay, [this, &aPlacer, life, kind = list->kind] {
        aPlacer.store->down = storeDown || aPlacer.listsFail;
        ++storeReads;
        Reply(aPlacer, life, net.storeDelay, objects_listed{ kind, aPlacer.store->List(kind) });
      });
    } else if (const auto* order = std::get_if<send_order>(&aAction)) {
      // The moment between the decision and the send is where a pause may fall.
      After({}, [this, &aPlacer, life, order = *order] {
        RunIn(aPlacer, life, [this, &aPlacer, life, order] { SendOrder(aPlacer, life, order); });
      });
    } else if (const auto* ask = std::get_if<read_member>(&aAction)) {
      ReadMember(aPlacer, life, ask->instance);
    }
  }

  void Put(one_placer& aPlacer, std::uint64_t aLife, const write_object& aWrite)
  {
    aPlacer.store->down = storeDown;
    const bool delayed = mRandom.Chance(net.delayWrite);
    aPlacer.store->delayNextWrite = delayed && !storeDown;
    aPlacer.store->loseNextReply = !delayed && !storeDown && mRandom.Chance(net.loseReply);
    ++(aWrite.key.kind == kLeaseKind ? leaseWrites : storeWrites);
    const auto version = aPlacer.store->Put(aWrite.key, aWrite.value, aWrite.condition);
    const auto error = aPlacer.store->LastFailure().code;
    Reply(aPlacer, aLife, net.storeDelay, object_written{ aWrite.key, version, error });
    if (delayed) {
      After({ static_cast<std::int64_t>(mRandom.Below(3000)) },
            [&aPlacer] { aPlacer.store->ApplyDelayedWrites(); });
    }
  }

  void SendOrder(one_placer& aPlacer, std::uint64_t aLife, const send_order& aOrder)
  {
    const order_kind kind = aOrder.order.kind;
    if (mNow >= aOrder.notAfter) {
      Reply(aPlacer, aLife, {}, order_done{ aOrder.instance, kind, order_outcome::not_sent });
      return;
    }
    if (onSend) {
      onSend(aOrder, aPlacer);
    }
    const bool late = mRandom.Chance(net.delayOrder);
    const duration travel =
      late ? duration{ static_cast<std::int64_t>(mRandom.Below(12000)) } : net.engineDelay;
    After(travel, [this, &aPlacer, aLife, aOrder, late] {
      fake_engine& engine = engines.at(aOrder.instance);
      if (!engine.Answers()) {
        return;
      }
      ++engineChanges;
      const order_outcome outcome = engine.Accept(aOrder.order, weights, mNow);
      if (!late) {
        Reply(aPlacer,
              aLife,
              net.engineDelay,
              order_done{ aOrder.instance, aOrder.order.kind, outcome });
      }
    });
    const bool answered = !late && engines.at(aOrder.instance).Answers();
    if (!answered) {
      Reply(aPlacer,
            aLife,
            net.readTimeout,
            order_done{ aOrder.instance, kind, order_outcome::unknown });
    }
  }

  void ReadMember(one_placer& aPlacer, std::uint64_t aLife, const instance_id& aInstance)
  {
    After(net.engineDelay, [this, &aPlacer, aLife, aInstance] {
      const auto found = engines.find(aInstance);
      const bool up = found != engines.end() && found->second.up;
      if (!up) {
        Reply(aPlacer, aLife, net.engineDelay, member_read{ aInstance, std::nullopt, true });
      } else if (found->second.paused) {
        Reply(aPlacer, aLife, net.readTimeout, member_read{ aInstance, std::nullopt, false });
      } else {
        Reply(aPlacer,
              aLife,
              net.engineDelay,
              member_read{ aInstance, StateOf(found->second, engines, mNow), false });
      }
    });
  }

  time_point mNow;
  random_source mRandom;
  std::uint64_t mSequence = 0;
  std::priority_queue<queued> mQueue;
};

} // namespace persimmon::placement
