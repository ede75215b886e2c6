#include "gateway/meshlink.h"

#include "gateway/instancechange.h"
#include "peers/meshnode.h"

#include <algorithm>

namespace persimmon::gateway {
namespace {

/// Documents that a peer announces are requested at once, because this process's watch of the
/// instances pauses for longer.
constexpr duration kPullGrace = 0_ms;
/// Bytes per second that a gateway may send to its peers. Announcing some 60 changes of instances a
/// second, as when groups break all the time, takes 5 KB; gateways that are told late read the
/// store themselves.
constexpr std::int64_t kMeshBytesPerSecond = 6000;

peers::mesh_node_settings
NodeSettings(const gateway_settings& aSettings)
{
  peers::mesh_node_settings settings;
  settings.self = aSettings.id;
  settings.zone = aSettings.zone;
  settings.relay = aSettings.relayListen;
  settings.listen = aSettings.meshListen;
  settings.seeds = aSettings.peers;
  settings.key = aSettings.meshKey;
  settings.pullDelay = kPullGrace;
  settings.bytesPerSecond = kMeshBytesPerSecond;
  settings.revisionedPrefix = kInstanceDocumentPrefix;
  settings.processorPercent = ProcessorPercent(aSettings.processorQuota);
  return settings;
}

} // namespace

struct mesh_link::implementation
{
  router_id self;
  loop::event_loop& loop;
  std::string reason;
  handler onMessage;
  std::function<void()> onStartEnded;
  std::function<void(const peers::store_position&)> onPosition;
  std::unique_ptr<peers::mesh_node> node;
};

mesh_link::mesh_link(const gateway_settings& aSettings,
                     loop::event_loop& aLoop,
                     metrics_registry& aMetrics)
  : mImplementation(
      std::make_unique<implementation>(implementation{ aSettings.id, aLoop, {}, {}, {}, {}, {} }))
{
  if (!aSettings.meshListen.Empty()) {
    mImplementation->node = std::make_unique<peers::mesh_node>(NodeSettings(aSettings), &aMetrics);
  }
}

mesh_link::~mesh_link()
{
  Stop();
}

void
mesh_link::SetHandler(handler aHandler)
{
  mImplementation->onMessage = std::move(aHandler);
}

void
mesh_link::SetStartHandler(std::function<void()> aHandler)
{
  mImplementation->onStartEnded = std::move(aHandler);
}

void
mesh_link::SetPositionHandler(std::function<void(const peers::store_position&)> aHandler)
{
  mImplementation->onPosition = std::move(aHandler);
}

bool
mesh_link::Start()
{
  implementation& self = *mImplementation;
  const auto onStartEnded = [&self] { self.loop.Post([&self] { self.onStartEnded(); }); };
  if (!self.node) {
    onStartEnded();
    return true;
  }
  self.node->SetStartHandler(onStartEnded);
  self.node->SetMessageHandler(
    [&self](const peers::mesh_message& aMessage, const router_id& aFrom) {
      self.loop.Post([&self, aMessage, aFrom] { self.onMessage(aMessage, aFrom); });
    });
  self.node->SetPositionHandler([&self](const peers::store_position& aPosition) {
    self.loop.Post([&self, aPosition] { self.onPosition(aPosition); });
  });
  if (self.node->Start()) {
    return true;
  }
  self.reason = self.node->LastReason();
  return false;
}

void
mesh_link::Stop()
{
  if (mImplementation->node) {
    mImplementation->node->Stop();
  }
}

void
mesh_link::Publish(const peers::mesh_message& aMessage)
{
  if (mImplementation->node) {
    mImplementation->node->Publish(aMessage);
  }
}

void
mesh_link::SetSeeds(std::vector<endpoint> aAddresses)
{
  if (mImplementation->node) {
    mImplementation->node->SetSeeds(std::move(aAddresses));
  }
}

void
mesh_link::SetStoreState(bool aUpToDate, bool aHasList)
{
  if (mImplementation->node) {
    mImplementation->node->SetStoreState(aUpToDate, aHasList);
  }
}

void
mesh_link::SetStoreAge(bool aNeverRestored)
{
  if (mImplementation->node) {
    mImplementation->node->SetStoreAge(aNeverRestored);
  }
}

void
mesh_link::SetStorePosition(const peers::store_position& aPosition, bool aIsPublished)
{
  if (mImplementation->node) {
    mImplementation->node->SetStorePosition(aPosition, aIsPublished);
  }
}

std::vector<reader_candidate>
mesh_link::ReaderCandidates() const
{
  std::vector<reader_candidate> candidates;
  if (mImplementation->node) {
    for (const peers::member& member : mImplementation->node->Status().members) {
      if (member.state != peers::member_state::dead) {
        candidates.push_back({ member.id, member.zone, member.processorPercent });
      }
    }
  }
  return candidates;
}

std::vector<router_id>
mesh_link::LiveGateways() const
{
  std::vector<router_id> live;
  if (mImplementation->node) {
    live = mImplementation->node->LiveRouters();
  }
  return live.empty() ? std::vector<router_id>{ mImplementation->self } : live;
}

std::vector<paths::relay_peer>
mesh_link::RelayPeers() const
{
  std::vector<paths::relay_peer> relays;
  if (!mImplementation->node) {
    return relays;
  }
  for (const peers::member& member : mImplementation->node->Status().members) {
    const bool isLivePeer =
      member.state == peers::member_state::alive && member.id != mImplementation->self;
    if (isLivePeer && !member.relay.Empty()) {
      relays.push_back({ member.id, member.zone, member.relay });
    }
  }
  return relays;
}

std::vector<duration>
mesh_link::PeerFrameAges() const
{
  std::vector<duration> ages;
  if (mImplementation->node) {
    for (const peers::peer_status& peer : mImplementation->node->Status().peers) {
      ages.push_back(peer.sinceLastFrame);
    }
  }
  return ages;
}

const std::string&
mesh_link::LastReason() const
{
  return mImplementation->reason;
}

} // namespace persimmon::gateway
