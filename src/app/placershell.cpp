#include "app/placershell.h"

#include "base/blockingqueue.h"
#include "base/random.h"
#include "entry/httpserver.h"
#include "peers/meshnode.h"
#include "placement/placementevents.h"
#include "placement/placementmetrics.h"
#include "platform/httpclient.h"
#include "platform/httpobjectstore.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace persimmon::app {
namespace {

using namespace persimmon::placement;
using platform::store_error;

constexpr duration kStoreTimeout{ 3000 };
constexpr duration kWatchWait{ 30'000 };
constexpr duration kRetryWait{ 500 };
constexpr duration kListInterval{ 2000 };
constexpr duration kReadTimeout{ 1000 };
constexpr std::chrono::milliseconds kTick{ 100 };
constexpr std::chrono::seconds kStatusInterval{ 1 };
constexpr std::size_t kStoreThreads = 2;
constexpr std::size_t kReadThreads = 16;
constexpr std::size_t kOrderThreads = 8;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

const std::vector<std::string> kWatchedKinds = { kServiceKind, kDomainKind, kPlanKind };

bool
IsLeaseAction(const placement_action& aAction)
{
  if (const auto* write = std::get_if<write_object>(&aAction)) {
    return write->key.kind == kLeaseKind;
  }
  if (const auto* read = std::get_if<read_object>(&aAction)) {
    return read->key.kind == kLeaseKind;
  }
  return std::holds_alternative<list_objects>(aAction) ||
         std::holds_alternative<delete_object>(aAction);
}

} // namespace

struct placer_shell::implementation
{
  implementation(placer_shell_options aOptions, metrics_registry& aMetrics)
    : options(std::move(aOptions))
    , metrics(aMetrics)
    , core(options.core, EntropySeed())
  {
  }

  placer_shell_options options;
  metrics_registry& metrics;
  placer_core core;
  boot_clock clock;
  blocking_queue<placement_event> events;
  blocking_queue<placement_action> leaseCalls;
  blocking_queue<placement_action> storeCalls;
  blocking_queue<read_member> reads;
  blocking_queue<send_order> orders;
  std::vector<std::thread> threads;
  std::thread decider;
  /// Used by the watching thread alone, but for Cancel().
  std::optional<platform::http_object_store> watchStore;
  std::unique_ptr<entry::http_server> server;
  std::unique_ptr<peers::mesh_node> mesh;
  std::mutex statusMutex;
  std::string status = "{}";
  bool ready = false;
  bool stopped = false;

  template<typename Function>
  void Run(std::size_t aCount, Function aFunction)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      threads.emplace_back(aFunction);
    }
  }

  platform::http_object_store Store() const { return { options.storeUrl, kStoreTimeout }; }

  void CountCall(const char* aCall, store_error aError)
  {
    metrics.Count(kStoreCallsMetric,
                  { { "call", aCall }, { "error", platform::StoreErrorName(aError) } });
  }

  // Deciding.

  void Decide()
  {
    auto nextTick = std::chrono::steady_clock::now();
    auto nextStatus = nextTick;
    while (!events.IsClosed()) {
      const auto event = events.PopUntil(nextTick);
      if (event) {
        Handle(*event);
      }
      const auto now = std::chrono::steady_clock::now();
      if (now >= nextTick) {
        nextTick = now + kTick;
        FollowRouters();
        Handle(time_passed{});
      }
      if (now >= nextStatus) {
        nextStatus = now + kStatusInterval;
        PublishStatus();
      }
    }
  }

  static bool HasDraining(const domain_table& aTable)
  {
    return std::any_of(aTable.groups.begin(), aTable.groups.end(), [](const group& aGroup) {
      return aGroup.state == group_state::draining;
    });
  }

  /// Tells the core which tables every live router applies, where a drain waits for it.
  void FollowRouters()
  {
    if (!mesh) {
      return;
    }
    std::vector<table_applied> applied;
    for (const auto& [domain, owner] : core.Domains()) {
      if (!HasDraining(owner.Table())) {
        continue;
      }
      const auto rollout =
        mesh->RolloutOf(peers::applied_message::object_kind::table, domain.value, owner.Version());
      if (rollout.live > 0 && rollout.applied == rollout.live) {
        applied.push_back({ domain, owner.Version() });
      }
    }
    for (table_applied& event : applied) {
      Handle(std::move(event));
    }
  }

  bool JoinMesh()
  {
    if (options.router.Empty()) {
      return true;
    }
    mesh = std::make_unique<peers::mesh_node>(
      peers::mesh_node_settings{
        { options.core.self.value }, options.zone, {}, { options.router }, options.meshKey, true },
      &metrics);
    return mesh->Start().has_value();
  }

  void Handle(const placement_event& aEvent)
  {
    const auto before = std::chrono::steady_clock::now();
    placement_actions actions = core.Handle(aEvent, clock.Now());
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - before;
    metrics.Observe(kPassSecondsMetric, passed.count());
    for (placement_action& action : actions) {
      Dispatch(std::move(action));
    }
  }

  void Dispatch(placement_action aAction)
  {
    if (auto* read = std::get_if<read_member>(&aAction)) {
      reads.Push(std::move(*read));
    } else if (auto* order = std::get_if<send_order>(&aAction)) {
      orders.Push(std::move(*order));
    } else if (const auto* decision = std::get_if<log_decision>(&aAction)) {
      Log(*decision);
    } else if (IsLeaseAction(aAction)) {
      leaseCalls.Push(std::move(aAction));
    } else {
      storeCalls.Push(std::move(aAction));
    }
  }

  void Log(const log_decision& aDecision)
  {
    metrics.Count(kDecisionsMetric, { { "decision", std::string(aDecision.event.name) } });
    WriteLog(aDecision.event,
             { { "domain", aDecision.domain },
               { "group", aDecision.group },
               { "service", aDecision.service },
               { "detail", aDecision.detail } });
  }

  // Calls to the platform.

  void CallStore(blocking_queue<placement_action>& aQueue)
  {
    platform::http_object_store store = Store();
    while (const auto action = aQueue.Pop()) {
      if (const auto* write = std::get_if<write_object>(&*action)) {
        const auto version = store.Put(write->key, write->value, write->condition);
        CountCall("put", store.LastFailure().code);
        events.Push(object_written{ write->key, version, store.LastFailure().code });
      } else if (const auto* read = std::get_if<read_object>(&*action)) {
        const auto object = store.Get(read->key);
        CountCall("get", store.LastFailure().code);
        events.Push(object_read{ read->key, object, store.LastFailure().code });
      } else if (const auto* list = std::get_if<list_objects>(&*action)) {
        auto found = store.List(list->kind);
        CountCall("list", store.LastFailure().code);
        events.Push(objects_listed{ list->kind, std::move(found) });
      } else if (const auto* drop = std::get_if<delete_object>(&*action)) {
        const auto version = store.Delete(drop->key, drop->expected);
        CountCall("delete", store.LastFailure().code);
        events.Push(object_written{ drop->key, version, store.LastFailure().code });
      }
    }
  }

  /// Lists the watched kinds; returns the revision from which a watch misses nothing.
  std::optional<revision> ListAll(platform::http_object_store& aStore)
  {
    std::optional<revision> from;
    for (const std::string& kind : kWatchedKinds) {
      auto list = aStore.List(kind);
      CountCall("list", aStore.LastFailure().code);
      if (!list) {
        return std::nullopt;
      }
      from = from ? std::min(*from, list->asOf) : list->asOf;
      events.Push(objects_listed{ kind, std::move(list) });
    }
    return from;
  }

  void Watch()
  {
    platform::http_object_store& store = *watchStore;
    std::optional<revision> from;
    while (!events.IsClosed()) {
      if (!from) {
        from = ListAll(store);
      }
      if (!from) {
        Wait(kRetryWait);
        continue;
      }
      auto changes = store.Watch(kWatchedKinds, *from, kWatchWait);
      CountCall("watch", store.LastFailure().code);
      if (changes) {
        from = changes->asOf;
        events.Push(objects_changed{ std::move(changes->changes) });
      } else if (store.LastFailure().code == store_error::compacted) {
        from.reset();
      } else {
        Wait(kRetryWait);
      }
    }
  }

  void ListInstances()
  {
    platform::http_object_store store = Store();
    while (!events.IsClosed()) {
      auto instances = store.ListInstances();
      CountCall("instances", store.LastFailure().code);
      if (instances) {
        events.Push(instances_listed{ std::move(*instances) });
      }
      Wait(kListInterval);
    }
  }

  /// Waits in short steps, so that Stop() is not held up.
  void Wait(duration aSpan)
  {
    const time_point end = clock.Now() + aSpan;
    while (!events.IsClosed() && clock.Now() < end) {
      std::this_thread::sleep_for(kTick);
    }
  }

  // Calls to engines.

  void ReadMembers()
  {
    platform::http_client client;
    while (const auto read = reads.Pop()) {
      platform::http_request request;
      request.url = "http://" + read->address.value + "/state";
      request.timeout = kReadTimeout;
      request.maxBodyBytes = kMaxMemberResponseBytes;
      const auto response = client.Send(request);
      member_read event{ read->instance, std::nullopt, false };
      if (response && response->status == kOk) {
        std::string problem;
        event.state = ParseMemberState(response->body, problem);
      } else if (!response) {
        event.refused = client.LastFailure() == platform::http_failure::not_sent;
      }
      events.Push(std::move(event));
    }
  }

  void SendOrders()
  {
    platform::http_client client;
    while (const auto order = orders.Pop()) {
      const order_outcome outcome = SendOne(client, *order);
      metrics.Count(
        kOrdersMetric,
        { { "kind", OrderName(order->order.kind) }, { "outcome", OutcomeName(outcome) } });
      if (outcome != order_outcome::accepted) {
        Log({ kOrderFailed,
              {},
              order->order.group.value,
              order->order.service.value,
              order->instance.value + " " + OutcomeName(outcome) });
      }
      events.Push(order_done{ order->instance, order->order.kind, outcome });
    }
  }

  order_outcome SendOne(platform::http_client& aClient, const send_order& aOrder)
  {
    platform::http_request request;
    request.method = "POST";
    request.url = "http://" + aOrder.address.value + "/orders";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = RenderOrder(aOrder.order);
    request.timeout = options.core.longestOrder;
    request.maxBodyBytes = kMaxMemberResponseBytes;
    // A reused connection could make the client library send the order a second time later.
    request.freshConnection = true;
    // The lease is looked at last, right before the send.
    if (clock.Now() >= aOrder.notAfter) {
      return order_outcome::not_sent;
    }
    const auto response = aClient.Send(request);
    if (response) {
      return ParseOrderOutcome(response->status, response->body);
    }
    return aClient.LastFailure() == platform::http_failure::not_sent ? order_outcome::not_sent
                                                                     : order_outcome::unknown;
  }

  // Showing.

  void PublishStatus()
  {
    std::map<std::string, int> states;
    nlohmann::json domains = nlohmann::json::array();
    for (const auto& [domain, owner] : core.Domains()) {
      domains.push_back(nlohmann::json::parse(RenderDomainTable(owner.Table())));
      for (const group& entry : owner.Table().groups) {
        ++states[StateName(entry.state)];
      }
    }
    for (const char* state : { "forming", "loading", "serving", "draining" }) {
      metrics.Set(kGroupsMetric, states[state], { { "state", state } });
    }
    const bool holds = core.HoldsLease(clock.Now());
    metrics.Set(kLeaseHeldMetric, holds ? 1 : 0);
    metrics.Set(kOwnedDomainsMetric, static_cast<double>(core.OwnedDomains()));
    nlohmann::json plan;
    std::uint64_t unmet = 0;
    if (core.Plan() != nullptr) {
      plan = nlohmann::json::parse(RenderPlan(*core.Plan()));
      for (const unmet_service& service : core.Plan()->unmet) {
        unmet += service.wanted - service.placed;
      }
    }
    metrics.Set(kUnmetMetric, static_cast<double>(unmet));
    const nlohmann::json shown = { { "placer", options.core.self.value },
                                   { "lease_held", holds },
                                   { "owned_domains", core.OwnedDomains() },
                                   { "domains", std::move(domains) },
                                   { "plan", std::move(plan) } };
    const std::lock_guard lock(statusMutex);
    status = shown.dump();
    ready = holds;
  }

  void Answer(const entry::server_request& aRequest, entry::responder& aResponder)
  {
    const std::lock_guard lock(statusMutex);
    if (aRequest.path == "/ready") {
      aResponder.Send({ ready ? kOk : kUnavailable, {}, ready ? "ready\n" : "no lease\n" });
    } else if (aRequest.path == "/metrics") {
      aResponder.Send(
        { kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.Render() });
    } else if (aRequest.path == "/status") {
      aResponder.Send({ kOk, { { "Content-Type", "application/json" } }, status });
    } else {
      aResponder.Send({ kNotFound, {}, "" });
    }
  }

  bool Listen()
  {
    if (options.adminListen.Empty()) {
      return true;
    }
    server = std::make_unique<entry::http_server>(entry::server_options{ 1, 1U << 16U, {} });
    const auto address = server->Listen(
      options.adminListen,
      [this](const entry::server_request& aRequest, const std::shared_ptr<entry::responder>& aTo) {
        Answer(aRequest, *aTo);
      });
    WriteLog(address ? kAdminListening : kAdminFailed,
             { { "address", address ? address->value : options.adminListen.value },
               { "detail", address ? "" : server->LastReason() } });
    return address.has_value();
  }
};

placer_shell::placer_shell(placer_shell_options aOptions, metrics_registry& aMetrics)
  : mImplementation(std::make_unique<implementation>(std::move(aOptions), aMetrics))
{
}

placer_shell::~placer_shell()
{
  Stop();
}

bool
placer_shell::Start()
{
  implementation& self = *mImplementation;
  if (!self.Listen()) {
    return false;
  }
  if (!self.JoinMesh()) {
    WriteLog(kMeshFailed, { { "detail", self.mesh->LastReason() } });
    return false;
  }
  self.Run(1, [&self] { self.CallStore(self.leaseCalls); });
  self.Run(kStoreThreads, [&self] { self.CallStore(self.storeCalls); });
  self.watchStore.emplace(self.Store());
  self.Run(1, [&self] { self.Watch(); });
  self.Run(1, [&self] { self.ListInstances(); });
  self.Run(kReadThreads, [&self] { self.ReadMembers(); });
  self.Run(kOrderThreads, [&self] { self.SendOrders(); });
  self.decider = std::thread([&self] { self.Decide(); });
  return true;
}

void
placer_shell::Stop()
{
  implementation& self = *mImplementation;
  if (self.stopped) {
    return;
  }
  self.stopped = true;
  self.events.Close();
  self.orders.Close();
  self.reads.Close();
  self.leaseCalls.Close();
  self.storeCalls.Close();
  if (self.decider.joinable()) {
    self.decider.join();
  }
  if (self.server) {
    self.server->Stop();
  }
  if (self.mesh) {
    self.mesh->Stop();
  }
  if (self.watchStore) {
    self.watchStore->Cancel();
  }
  for (std::thread& thread : self.threads) {
    thread.join();
  }
  // All orders have ended, so that the others need not wait for the lease to lapse.
  platform::http_object_store store = self.Store();
  for (const placement_action& action : self.core.Release()) {
    if (const auto* drop = std::get_if<delete_object>(&action)) {
      store.Delete(drop->key, drop->expected);
    }
  }
}

} // namespace persimmon::app
