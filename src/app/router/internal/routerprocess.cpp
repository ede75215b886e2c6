#include "app/router/routerprocess.h"

#include "app/router/callerfront.h"
#include "app/router/clusterboard.h"
#include "app/router/eligibilitylog.h"
#include "app/router/exchange.h"
#include "app/router/exchangecontext.h"
#include "app/router/lostupstreams.h"
#include "app/router/meshbridge.h"
#include "app/router/platformwatcher.h"
#include "app/router/presenceobserver.h"
#include "app/router/readiness.h"
#include "app/router/requestloops.h"
#include "app/router/routerevents.h"
#include "app/router/servicegauges.h"
#include "app/router/testcontrol.h"
#include "entry/httpserver.h"
#include "upstream/upstreamclient.h"

#include <thread>

namespace persimmon::router {
namespace {

constexpr std::size_t kRememberedRequests = 4096;
constexpr duration kTickInterval{ 100 };
constexpr std::uint64_t kTicksPerSecond = 10;
constexpr duration kDrainPoll{ 20 };
constexpr duration kLastAnswers{ 500 };
constexpr duration kLastCloses = 2_s;
/// A body up to this many times the limit is read to be refused with a reason; beyond it the
/// connection is closed.
constexpr std::size_t kReadableBodies = 2;

void
Sleep(duration aSpan)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aSpan.ms));
}

entry::server_options
ServerOptions(const router_settings& aSettings, const request_loops& aLoops)
{
  entry::server_options options;
  options.loops = aLoops.Pointers();
  options.maxBodyBytes = aSettings.maxBodyBytes * kReadableBodies;
  return options;
}

} // namespace

// The order of members is the order of construction; what others use comes first.
struct router_process::implementation
{
  explicit implementation(router_settings aSettings)
    : settings(std::move(aSettings))
  {
  }

  router_settings settings;
  request_loops requestLoops{ settings.threads };
  /// Observations, probes and timers.
  loop::event_loop controlLoop;
  std::string reason;
  endpoint address;
  readiness ready;
  history::history_writer history{ settings.historyPath, settings.id.value };
  metrics_registry metrics;
  decision_log decisions{ kRememberedRequests };
  request_registry registry;
  suspect_board suspects{ [this](const poison::suspicion_changes& aChanges) {
    aChanges.ForEachMessage([this](const auto& aMessage) { mesh.Publish(aMessage); });
  } };
  call_ledger ledger{ settings.id, settings.storeUrl, metrics };
  cluster_board board{ settings.id,
                       settings.zone,
                       history,
                       [this](const std::vector<routing::admission_action>& aActions) {
                         registry.CarryOut(aActions);
                       } };
  mesh_bridge mesh{ settings, board, metrics };
  death_prober prober{ board, controlLoop };
  exchange_context context{ settings.id, history, metrics,  decisions,
                            registry,    ledger,  suspects, prober };
  upstream::upstream_client upstreams{ requestLoops.Pointers() };
  caller_front front{ settings.zone, settings.maxBodyBytes, board, ready, upstreams, context };
  presence_observer observer{
    settings.id,
    board,
    controlLoop,
    [this](const placement::group& aGroup) { return mesh.Observes(aGroup); },
    [this](const peers::presence_message& aPresence) { mesh.Publish(aPresence); }
  };
  lost_upstreams lostUpstreams;
  eligibility_log eligibility;
  upstream::upstream_loop ticker{ controlLoop };
  std::unique_ptr<platform_watcher> watcher;
  entry::http_server server{ ServerOptions(settings, requestLoops) };

  std::uint64_t ticks = 0;

  void Tick();
  void TickEachSecond(time_point aNow);
  void StartWatching();
  bool Listen();
  bool ListenForTests();
  bool WaitForRequests(duration aLimit) const;
  /// Ends all threads, so that nothing runs while members are destroyed.
  void StopThreads();
};

void
router_process::implementation::Tick()
{
  const time_point now = steady_clock().Now();
  board.Tick(now);
  eligibility.Update(board, now);
  for (const auto& service : board.Services()) {
    if (service->IsOut(now) && service->Waiting() > 0) {
      registry.RefuseWaiting(service->Name());
    }
  }
  for (const lost_upstream& lost : lostUpstreams.Update(board, now)) {
    registry.TellLost(lost);
  }
  if (++ticks % kTicksPerSecond == 0) {
    TickEachSecond(now);
  }
  ticker.After(kTickInterval, [this] { Tick(); });
}

void
router_process::implementation::TickEachSecond(time_point aNow)
{
  suspects.Prune(aNow);
  PublishGauges(board, suspects, metrics, aNow);
  mesh.PublishShares();
  if (mesh.CaughtUp() && !board.Empty()) {
    ready.informed = true;
  }
}

void
router_process::implementation::StartWatching()
{
  watcher_handlers handlers;
  handlers.onObject = [this](const peers::mesh_message& aMessage) {
    mesh.PublishObject(aMessage, board.Apply(aMessage, steady_clock().Now()));
  };
  handlers.onInstances = [this](const std::vector<platform::listed_instance>& aList) {
    board.Apply(aList, steady_clock().Now());
    mesh.PublishLeaving();
  };
  handlers.onState = [this](bool aFresh, bool aListed) {
    mesh.SetStoreState(aFresh, aListed);
    if (aListed) {
      ready.informed = true;
    }
  };
  watcher = std::make_unique<platform_watcher>(settings.storeUrl, std::move(handlers));
}

bool
router_process::implementation::Listen()
{
  const auto bound = server.Listen(
    settings.listen,
    [this](entry::server_request aRequest, std::shared_ptr<entry::responder> aResponder) {
      front.Handle(std::move(aRequest), std::move(aResponder));
    });
  if (!bound) {
    reason = server.LastReason();
    return false;
  }
  address = *bound;
  return true;
}

bool
router_process::implementation::ListenForTests()
{
  const auto handle = [this](const entry::server_request& aRequest, const auto& aResponder) {
    HandleTestControl(aRequest, *aResponder, [this](const std::vector<router_id>& aPeers) {
      mesh.BlockPeers(aPeers);
    });
  };
  if (settings.testControl.Empty() || server.Listen(settings.testControl, handle)) {
    return true;
  }
  reason = server.LastReason();
  return false;
}

bool
router_process::implementation::WaitForRequests(duration aLimit) const
{
  const steady_clock clock;
  const time_point until = clock.Now() + aLimit;
  while (registry.Count() > 0 && clock.Now() < until) {
    Sleep(kDrainPoll);
  }
  return registry.Count() == 0;
}

void
router_process::implementation::StopThreads()
{
  watcher.reset();
  mesh.Stop();
  requestLoops.Stop();
  controlLoop.Stop();
}

router_process::router_process(router_settings aSettings)
  : mImplementation(std::make_unique<implementation>(std::move(aSettings)))
{
}

router_process::~router_process()
{
  mImplementation->StopThreads();
}

bool
router_process::Start()
{
  implementation& self = *mImplementation;
  if (!self.history.IsReady()) {
    self.reason = "cannot open " + self.settings.historyPath;
    return false;
  }
  if (!self.mesh.Start(self.suspects)) {
    self.reason = self.mesh.LastReason();
    return false;
  }
  if (!self.Listen() || !self.ListenForTests()) {
    return false;
  }
  self.StartWatching();
  self.observer.Start();
  self.ticker.Post([&self] { self.Tick(); });
  WriteLog(kRouterStarted,
           { { "router", self.settings.id.value },
             { "zone", self.settings.zone.value },
             { "listen", self.address.value } });
  return true;
}

void
router_process::Stop()
{
  implementation& self = *mImplementation;
  self.ready.leaving = true;
  WriteLog(kRouterStopping, { { "in_flight", std::to_string(self.registry.Count()) } });
  Sleep(self.settings.noticeTime);
  self.ready.closed = true;
  if (self.watcher) {
    self.watcher->Stop();
  }
  if (!self.WaitForRequests(self.settings.drainTime)) {
    for (const auto& left : self.registry.All()) {
      left->Post(routing::flow_stop{});
    }
  }
  const bool finished = self.WaitForRequests(kLastAnswers) && self.ledger.Flush(kLastCloses);
  self.mesh.Stop();
  // Answers that were handed to the connections still have to leave.
  Sleep(kLastAnswers);
  self.StopThreads();
  WriteLog(kRouterStopped, { { "finished", finished ? "true" : "false" } });
}

const endpoint&
router_process::Address() const
{
  return mImplementation->address;
}

const std::string&
router_process::LastReason() const
{
  return mImplementation->reason;
}

} // namespace persimmon::router
