#include "peers/meshcore.h"

#include "peers/internal/meshcoreimplementation.h"

#include <utility>

namespace persimmon::peers {

const char*
LinkCloseReasonName(link_close_reason aReason)
{
  switch (aReason) {
    case link_close_reason::duplicate:
      return "duplicate";
    case link_close_reason::not_needed:
      return "not_needed";
    case link_close_reason::silent:
      return "silent";
    case link_close_reason::bad_frame:
      return "bad_frame";
    case link_close_reason::self:
      return "self";
    case link_close_reason::stopping:
      return "stopping";
  }
  return "unknown";
}

mesh_core::mesh_core(mesh_options aOptions, time_point aNow)
  : mImplementation(std::make_unique<implementation>(std::move(aOptions), aNow))
{
}

mesh_core::~mesh_core() = default;
mesh_core::mesh_core(mesh_core&&) noexcept = default;
mesh_core&
mesh_core::operator=(mesh_core&&) noexcept = default;

std::vector<mesh_action>
mesh_core::Handle(const mesh_event& aEvent, time_point aNow)
{
  mImplementation->now = aNow;
  std::visit([this](const auto& aValue) { mImplementation->On(aValue); }, aEvent);
  return std::exchange(mImplementation->actions, {});
}

mesh_status
mesh_core::Status(time_point aNow) const
{
  mesh_status status;
  status.counters = mImplementation->counters;
  for (const auto& [id, link] : mImplementation->links) {
    for (std::size_t priority = 0; priority < kPriorityCount; ++priority) {
      status.counters.waiting[priority] += link.pendingMessages[priority].Size();
    }
    if (link.helloReceived) {
      status.peers.push_back({ link.peer, link.outgoing, link.leaf, aNow - link.lastReceivedAt });
    }
  }
  for (const auto& [id, entry] : mImplementation->members.All()) {
    status.members.push_back(entry);
  }
  status.caughtUp = mImplementation->caughtUp;
  return status;
}

bool
mesh_core::IsStarting() const
{
  return mImplementation->starting;
}

std::vector<router_id>
mesh_core::LiveRouters() const
{
  return mImplementation->members.LiveRouters();
}

rollout_status
mesh_core::RolloutOf(applied_message::object_kind aKind,
                     const std::string& aName,
                     revision aVersion) const
{
  rollout_status result;
  const message_store& messages = mImplementation->messages;
  const versioned_message* held = messages.Find(SubjectOf(aKind, aName));
  const bool holds = held != nullptr && held->version >= aVersion.value;
  const auto& coveredUpTo = mImplementation->coveredUpTo;
  for (const router_id& router : LiveRouters()) {
    ++result.live;
    const versioned_message* applied =
      messages.Find(SubjectOf(applied_message{ router, aKind, aName, {} }));
    const auto coverage = coveredUpTo.find(router);
    const bool isCovered =
      holds && coverage != coveredUpTo.end() && held->storeSequence <= coverage->second;
    if ((applied != nullptr && applied->version >= aVersion.value) || isCovered) {
      ++result.applied;
    } else {
      result.notApplied.push_back(router);
    }
  }
  return result;
}

std::optional<mesh_message>
mesh_core::FindObject(applied_message::object_kind aKind, const std::string& aName) const
{
  const versioned_message* held = mImplementation->messages.Find(SubjectOf(aKind, aName));
  return held == nullptr ? std::nullopt : std::optional(held->message);
}

router_id
mesh_core::PeerOf(link_id aLink) const
{
  const auto found = mImplementation->links.find(aLink);
  return found == mImplementation->links.end() ? router_id{} : found->second.peer;
}

} // namespace persimmon::peers
