#include "peers/meshnode.h"

#include "base/random.h"
#include "peers/internal/websockettransport.h"
#include "peers/peersevents.h"
#include "peers/peersmetrics.h"
#include "peers/wireframe.h"

#include <atomic>
#include <charconv>
#include <future>
#include <map>
#include <mutex>
#include <numeric>
#include <set>

namespace persimmon::peers {
namespace {

/// Interval of metric updates.
constexpr duration kMetricsInterval = 1_s;

struct ip_and_port
{
  std::string ip;
  std::uint16_t port = 0;
};

std::optional<ip_and_port>
ParseIpAndPort(const endpoint& aAddress)
{
  const std::size_t colon = aAddress.value.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  ip_and_port parts{ aAddress.value.substr(0, colon) };
  const char* end = aAddress.value.data() + aAddress.value.size();
  const auto result = std::from_chars(aAddress.value.data() + colon + 1, end, parts.port);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return parts;
}

} // namespace

struct mesh_node::implementation
{
  mesh_node_settings settings;
  metrics_registry* metrics = nullptr;
  message_handler onMessage;
  member_handler onMember;
  start_handler onStartEnded;
  position_handler onPosition;
  std::unique_ptr<websocket_transport> transport;
  std::string reason;
  steady_clock clock;
  std::atomic<bool> running = false;

  // The core is modified only on the transport's thread; the mutex protects reads by other threads.
  mutable std::mutex mutex;
  std::unique_ptr<mesh_core> core;
  std::set<router_id> blockedPeers;

  // Accessed only on the transport's thread.
  std::map<std::uint64_t, router_id> peers;
  mesh_counters reportedCounters;
  time_point nextMetricsAt;

  std::optional<endpoint> Start();
  std::optional<endpoint> Listen();
  transport_callbacks MakeCallbacks();
  void OnOpened(std::uint64_t aLink, bool aOutgoing, const std::string& aPeer);
  void OnRefused(const std::string& aAddress, const std::string& aDetail);
  void HandleEvent(const mesh_event& aEvent);
  bool IsBlocked(std::uint64_t aLink) const;
  void ExecuteAction(const mesh_action& aAction);
  void Execute(const open_link& aAction);
  void Execute(const close_link& aAction);
  void Execute(const send_frame& aAction);
  void Execute(const deliver_message& aAction);
  void Execute(const member_changed& aAction);
  void Execute(const start_ended&);
  void Execute(const store_position_reached& aAction);
  void UpdateMetrics();
  void Tick();
  void Post(const mesh_event& aEvent);
};

std::optional<endpoint>
mesh_node::implementation::Listen()
{
  const auto parts = ParseIpAndPort(settings.listen);
  if (!parts) {
    reason = "listen address '" + settings.listen.value + "' is not of the form ip:port";
    return std::nullopt;
  }
  const std::uint16_t port = transport->Listen(parts->ip, parts->port, reason);
  if (port == 0) {
    return std::nullopt;
  }
  return endpoint{ parts->ip + ":" + std::to_string(port) };
}

transport_callbacks
mesh_node::implementation::MakeCallbacks()
{
  transport_callbacks callbacks;
  callbacks.opened = [this](std::uint64_t aLink, bool aOutgoing, const std::string& aPeer) {
    OnOpened(aLink, aOutgoing, aPeer);
  };
  callbacks.received = [this](std::uint64_t aLink, const std::string& aBytes) {
    if (!IsBlocked(aLink)) {
      HandleEvent(frame_received{ { aLink }, aBytes });
    }
  };
  callbacks.closed = [this](std::uint64_t aLink) {
    const auto peer = peers.find(aLink);
    if (peer != peers.end()) {
      WriteLog(kLinkEnded, { { "peer", peer->second.value }, { "reason", "closed_by_peer" } });
      peers.erase(peer);
    }
    HandleEvent(link_closed{ { aLink } });
  };
  callbacks.refused = [this](const std::string& aAddress, const std::string& aDetail) {
    OnRefused(aAddress, aDetail);
  };
  return callbacks;
}

std::optional<endpoint>
mesh_node::implementation::Start()
{
  transport_settings link;
  link.self = settings.self.value;
  link.key = settings.key;
  link.maxFrameBytes = kMaxFrameBytes;
  transport = std::make_unique<websocket_transport>(link, MakeCallbacks());
  endpoint address;
  if (!settings.leaf) {
    const auto bound = Listen();
    if (!bound) {
      return std::nullopt;
    }
    address = *bound;
  }
  mesh_options options;
  options.self = settings.self;
  options.startedAtMs = static_cast<std::uint64_t>(wall_clock{}.Now().ms);
  options.address = address;
  options.zone = settings.zone;
  options.relay = settings.relay;
  options.processorPercent = settings.processorPercent;
  options.revisionedPrefix = settings.revisionedPrefix;
  options.bytesPerSecond = settings.bytesPerSecond;
  options.leaf = settings.leaf;
  options.pullDelay = settings.pullDelay;
  options.seeds = settings.seeds;
  options.randomSeed = EntropySeed();
  const duration interval = options.urgentInterval;
  core = std::make_unique<mesh_core>(std::move(options), clock.Now());
  running = true;
  WriteLog(kMeshStarted, { { "address", address.value }, { "self", settings.self.value } });
  transport->Start(static_cast<long>(interval.ms), [this] { Tick(); });
  // The first dials don't wait for an interval: calls may wait for the end of the start.
  transport->Post([this] { Tick(); });
  return address;
}

void
mesh_node::implementation::OnOpened(std::uint64_t aLink, bool aOutgoing, const std::string& aPeer)
{
  peers[aLink] = { aPeer };
  if (IsBlocked(aLink)) {
    transport->Close(aLink);
    peers.erase(aLink);
    if (aOutgoing) {
      HandleEvent(link_closed{ { aLink } });
    }
    return;
  }
  WriteLog(kLinkOpened, { { "peer", aPeer }, { "direction", aOutgoing ? "out" : "in" } });
  HandleEvent(link_opened{ { aLink }, aOutgoing });
}

void
mesh_node::implementation::OnRefused(const std::string& aAddress, const std::string& aDetail)
{
  WriteLog(kPeerRefused, { { "address", aAddress }, { "detail", aDetail } });
  if (metrics != nullptr) {
    metrics->Count(kMeshRefused);
  }
}

bool
mesh_node::implementation::IsBlocked(std::uint64_t aLink) const
{
  const std::lock_guard lock(mutex);
  const auto peer = peers.find(aLink);
  return peer != peers.end() && blockedPeers.count(peer->second) != 0;
}

void
mesh_node::implementation::HandleEvent(const mesh_event& aEvent)
{
  std::vector<mesh_action> actions;
  {
    const std::lock_guard lock(mutex);
    actions = core->Handle(aEvent, clock.Now());
  }
  for (const mesh_action& action : actions) {
    ExecuteAction(action);
  }
}

void
mesh_node::implementation::ExecuteAction(const mesh_action& aAction)
{
  std::visit([this](const auto& aValue) { Execute(aValue); }, aAction);
}

void
mesh_node::implementation::Execute(const open_link& aAction)
{
  transport->Connect(aAction.link.value, aAction.address.value);
}

void
mesh_node::implementation::Execute(const close_link& aAction)
{
  const std::string peer = peers[aAction.link.value].value;
  peers.erase(aAction.link.value);
  const log_event& event =
    aAction.reason == link_close_reason::bad_frame ? kFrameRefused : kLinkEnded;
  WriteLog(event,
           { { "peer", peer },
             { "reason", LinkCloseReasonName(aAction.reason) },
             { "detail", aAction.detail } });
  transport->Close(aAction.link.value);
}

void
mesh_node::implementation::Execute(const send_frame& aAction)
{
  if (!IsBlocked(aAction.link.value)) {
    transport->Send(aAction.link.value, aAction.bytes);
  }
}

void
mesh_node::implementation::Execute(const deliver_message& aAction)
{
  if (onMessage) {
    onMessage(aAction.message, aAction.from);
  }
}

void
mesh_node::implementation::Execute(const member_changed& aAction)
{
  const member& entry = aAction.entry;
  WriteLog(kMemberChanged,
           { { "router", entry.id.value },
             { "state", MemberStateName(entry.state) },
             { "life", std::to_string(entry.startedAtMs) },
             { "address", entry.address.value } });
  if (onMember) {
    onMember(entry);
  }
}

void
mesh_node::implementation::Execute(const start_ended&)
{
  if (onStartEnded) {
    onStartEnded();
  }
}

void
mesh_node::implementation::Execute(const store_position_reached& aAction)
{
  if (onPosition) {
    onPosition(aAction.position);
  }
}

void
mesh_node::implementation::UpdateMetrics()
{
  const time_point now = clock.Now();
  if (metrics == nullptr || now < nextMetricsAt) {
    return;
  }
  nextMetricsAt = now + kMetricsInterval;
  mesh_status status;
  std::size_t live = 0;
  {
    const std::lock_guard lock(mutex);
    status = core->Status(now);
    live = core->LiveRouters().size();
  }
  const auto count =
    [this](const metric_spec& aMetric, std::uint64_t aCurrent, std::uint64_t aPrevious) {
      metrics->Count(aMetric, {}, static_cast<double>(aCurrent - aPrevious));
    };
  const mesh_counters& counters = status.counters;
  count(kMeshFramesSent, counters.framesSent, reportedCounters.framesSent);
  count(kMeshBytesSent, counters.bytesSent, reportedCounters.bytesSent);
  count(kMeshBodyBytesSent, counters.bodyBytesSent, reportedCounters.bodyBytesSent);
  count(kMeshBytesReceived, counters.bytesReceived, reportedCounters.bytesReceived);
  count(kMeshDelivered, counters.messagesDelivered, reportedCounters.messagesDelivered);
  count(kMeshDuplicates, counters.duplicates, reportedCounters.duplicates);
  count(kMeshUnknown, counters.unknownRecords, reportedCounters.unknownRecords);
  count(kMeshBadFrames, counters.badFrames, reportedCounters.badFrames);
  const auto waiting =
    std::accumulate(counters.waiting.begin(), counters.waiting.end(), std::uint64_t{ 0 });
  metrics->Set(kMeshWaiting, static_cast<double>(waiting));
  metrics->Set(kMeshPeers, static_cast<double>(status.peers.size()));
  metrics->Set(kMeshLive, static_cast<double>(live));
  reportedCounters = counters;
}

void
mesh_node::implementation::Tick()
{
  HandleEvent(timer_fired{});
  UpdateMetrics();
}

void
mesh_node::implementation::Post(const mesh_event& aEvent)
{
  if (running) {
    transport->Post([this, aEvent] { HandleEvent(aEvent); });
  }
}

mesh_node::mesh_node(mesh_node_settings aSettings, metrics_registry* aMetrics)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->settings = std::move(aSettings);
  mImplementation->metrics = aMetrics;
}

mesh_node::~mesh_node()
{
  Stop();
}

void
mesh_node::SetMessageHandler(message_handler aHandler)
{
  mImplementation->onMessage = std::move(aHandler);
}

void
mesh_node::SetMemberHandler(member_handler aHandler)
{
  mImplementation->onMember = std::move(aHandler);
}

void
mesh_node::SetStartHandler(start_handler aHandler)
{
  mImplementation->onStartEnded = std::move(aHandler);
}

void
mesh_node::SetPositionHandler(position_handler aHandler)
{
  mImplementation->onPosition = std::move(aHandler);
}

std::optional<endpoint>
mesh_node::Start()
{
  return mImplementation->Start();
}

void
mesh_node::Stop()
{
  if (!mImplementation->running) {
    return;
  }
  mImplementation->running = false;
  std::promise<void> stopped;
  mImplementation->transport->Post([this, &stopped] {
    mImplementation->HandleEvent(stop_requested{});
    // Another turn of the event loop sends the last frames.
    mImplementation->transport->Post([&stopped] { stopped.set_value(); });
  });
  stopped.get_future().wait();
  mImplementation->transport->Stop();
}

void
mesh_node::Publish(const mesh_message& aMessage)
{
  mImplementation->Post(publish_requested{ aMessage });
}

void
mesh_node::SetSeeds(std::vector<endpoint> aAddresses)
{
  mImplementation->Post(seeds_changed{ std::move(aAddresses) });
}

void
mesh_node::SetStoreState(bool aWatchUpToDate, bool aHasList)
{
  mImplementation->Post(store_state_changed{ aWatchUpToDate, aHasList });
}

void
mesh_node::SetStoreAge(bool aNeverRestored)
{
  mImplementation->Post(store_age_known{ aNeverRestored });
}

void
mesh_node::SetStorePosition(const store_position& aPosition, bool aIsPublished)
{
  mImplementation->Post(store_position_read{ aPosition, aIsPublished });
}

mesh_status
mesh_node::Status() const
{
  const std::lock_guard lock(mImplementation->mutex);
  return mImplementation->core ? mImplementation->core->Status(mImplementation->clock.Now())
                               : mesh_status{};
}

std::vector<router_id>
mesh_node::LiveRouters() const
{
  const std::lock_guard lock(mImplementation->mutex);
  return mImplementation->core ? mImplementation->core->LiveRouters() : std::vector<router_id>{};
}

rollout_status
mesh_node::RolloutOf(applied_message::object_kind aKind,
                     const std::string& aName,
                     revision aVersion) const
{
  const std::lock_guard lock(mImplementation->mutex);
  return mImplementation->core ? mImplementation->core->RolloutOf(aKind, aName, aVersion)
                               : rollout_status{};
}

bool
mesh_node::CaughtUp() const
{
  return Status().caughtUp;
}

const std::string&
mesh_node::LastReason() const
{
  return mImplementation->reason;
}

void
mesh_node::BlockPeers(const std::vector<router_id>& aPeers)
{
  WriteLog(kMeshFaultsSet, { { "blocked", std::to_string(aPeers.size()) } });
  const std::lock_guard lock(mImplementation->mutex);
  mImplementation->blockedPeers = { aPeers.begin(), aPeers.end() };
}

} // namespace persimmon::peers
