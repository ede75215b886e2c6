#include "app/router/meshbridge.h"

#include "peers/meshnode.h"
#include "peers/rendezvous.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace persimmon::router {
namespace {

/// What this router tells of a document or table that came into force here.
std::optional<peers::applied_message>
AppliedOf(const peers::mesh_message& aMessage)
{
  using object_kind = peers::applied_message::object_kind;
  if (const auto* document = std::get_if<peers::document_message>(&aMessage)) {
    return peers::applied_message{
      {}, object_kind::document, document->service.value, document->version
    };
  }
  if (const auto* table = std::get_if<peers::table_message>(&aMessage)) {
    return peers::applied_message{ {}, object_kind::table, table->domain.value, table->version };
  }
  return std::nullopt;
}

peers::mesh_node_settings
NodeSettings(const router_settings& aSettings)
{
  peers::mesh_node_settings settings;
  settings.self = aSettings.id;
  settings.zone = aSettings.zone;
  settings.listen = aSettings.meshListen;
  settings.seeds = aSettings.peers;
  settings.key = aSettings.meshKey;
  return settings;
}

} // namespace

struct mesh_bridge::implementation
{
  implementation(router_id aSelf, cluster_board& aBoard)
    : self(std::move(aSelf))
    , board(aBoard)
  {
  }

  router_id self;
  cluster_board& board;
  suspect_board* suspects = nullptr;
  std::mutex leavingMutex;
  std::set<std::pair<instance_id, incarnation>> leavingTold;
  std::string reason;
  std::unique_ptr<peers::mesh_node> node;

  void Take(const peers::mesh_message& aMessage);
  void TellApplied(const peers::mesh_message& aMessage);
};

void
mesh_bridge::implementation::TellApplied(const peers::mesh_message& aMessage)
{
  if (auto applied = AppliedOf(aMessage)) {
    applied->router = self;
    node->Publish(*applied);
  }
}

void
mesh_bridge::implementation::Take(const peers::mesh_message& aMessage)
{
  const time_point now = steady_clock().Now();
  const auto suspicions = poison::suspicion_changes::FromMessage(aMessage);
  if (!suspicions.Empty()) {
    suspects->Apply(suspicions, now);
  } else if (const auto* share = std::get_if<peers::customer_load_message>(&aMessage)) {
    if (const auto service = board.Service(share->service)) {
      service->Apply(*share, now);
    }
  } else if (board.Apply(aMessage, now)) {
    TellApplied(aMessage);
  }
}

mesh_bridge::mesh_bridge(const router_settings& aSettings,
                         cluster_board& aBoard,
                         metrics_registry& aMetrics)
  : mImplementation(std::make_unique<implementation>(aSettings.id, aBoard))
{
  if (!aSettings.meshListen.Empty()) {
    mImplementation->node = std::make_unique<peers::mesh_node>(NodeSettings(aSettings), &aMetrics);
  }
}

mesh_bridge::~mesh_bridge() = default;

bool
mesh_bridge::Start(suspect_board& aSuspects)
{
  implementation& self = *mImplementation;
  if (!self.node) {
    return true;
  }
  self.suspects = &aSuspects;
  self.node->SetMessageHandler(
    [&self](const peers::mesh_message& aMessage, const router_id&) { self.Take(aMessage); });
  if (!self.node->Start()) {
    self.reason = self.node->LastReason();
    return false;
  }
  return true;
}

void
mesh_bridge::Stop()
{
  if (mImplementation->node) {
    mImplementation->node->Stop();
  }
}

void
mesh_bridge::Publish(const peers::mesh_message& aMessage)
{
  if (mImplementation->node) {
    mImplementation->node->Publish(aMessage);
  }
}

void
mesh_bridge::PublishObject(const peers::mesh_message& aMessage, bool aNews)
{
  if (!mImplementation->node) {
    return;
  }
  mImplementation->node->Publish(aMessage);
  if (aNews) {
    mImplementation->TellApplied(aMessage);
  }
}

void
mesh_bridge::PublishLeaving()
{
  implementation& self = *mImplementation;
  const std::lock_guard lock(self.leavingMutex);
  for (const peers::leaving_message& leaving : self.board.Leaving()) {
    if (self.leavingTold.emplace(leaving.instance, leaving.incarnationId).second) {
      Publish(leaving);
    }
  }
}

void
mesh_bridge::PublishShares()
{
  for (const auto& service : mImplementation->board.Services()) {
    for (const peers::customer_load_message& share : service->Shares()) {
      Publish(share);
    }
  }
}

void
mesh_bridge::SetStoreState(bool aFresh, bool aListed)
{
  if (mImplementation->node) {
    mImplementation->node->SetStoreState(aFresh, aListed);
  }
}

bool
mesh_bridge::Observes(const placement::group& aGroup) const
{
  if (!mImplementation->node) {
    return true;
  }
  const auto observers = peers::ObserversOf(aGroup.id, mImplementation->node->LiveRouters());
  return std::find(observers.begin(), observers.end(), mImplementation->self) != observers.end();
}

bool
mesh_bridge::CaughtUp() const
{
  return mImplementation->node && mImplementation->node->CaughtUp();
}

std::vector<router_id>
mesh_bridge::Live() const
{
  return mImplementation->node ? mImplementation->node->LiveRouters()
                               : std::vector<router_id>{ mImplementation->self };
}

void
mesh_bridge::BlockPeers(const std::vector<router_id>& aPeers)
{
  if (mImplementation->node) {
    mImplementation->node->BlockPeers(aPeers);
  }
}

const std::string&
mesh_bridge::LastReason() const
{
  return mImplementation->reason;
}

} // namespace persimmon::router
