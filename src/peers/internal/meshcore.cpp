#include "peers/meshcore.h"

#include "peers/internal/meshcoreimplementation.h"

#include <utility>

namespace persimmon::peers {

const char*
LinkReasonName(link_reason aReason)
{
  switch (aReason) {
    case link_reason::duplicate:
      return "duplicate";
    case link_reason::not_needed:
      return "not_needed";
    case link_reason::silent:
      return "silent";
    case link_reason::bad_frame:
      return "bad_frame";
    case link_reason::self:
      return "self";
    case link_reason::stopping:
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
  std::visit([this](const auto& aIt) { mImplementation->On(aIt); }, aEvent);
  return std::exchange(mImplementation->actions, {});
}

mesh_status
mesh_core::Status(time_point aNow) const
{
  mesh_status status;
  status.counters = mImplementation->counters;
  for (const auto& [id, link] : mImplementation->links) {
    for (std::size_t worth = 0; worth < kWorthCount; ++worth) {
      status.counters.waiting[worth] += link.facts[worth].Size();
    }
    if (link.greeted) {
      status.peers.push_back({ link.peer, link.outgoing, link.leaf, aNow - link.lastHeard });
    }
  }
  for (const auto& [id, entry] : mImplementation->members.All()) {
    status.members.push_back(entry);
  }
  status.caughtUp = mImplementation->caughtUp;
  return status;
}

std::vector<router_id>
mesh_core::Live() const
{
  return mImplementation->members.Live();
}

force_status
mesh_core::InForce(applied_message::subject aWhat,
                   const std::string& aName,
                   revision aVersion) const
{
  force_status result;
  const fact_store& facts = mImplementation->facts;
  const mesh_fact* held = facts.Find(SubjectOf(aWhat, aName));
  const bool holds = held != nullptr && held->version >= aVersion.value;
  const auto& covered = mImplementation->covered;
  for (const router_id& router : Live()) {
    ++result.live;
    const mesh_fact* applied = facts.Find(SubjectOf(applied_message{ router, aWhat, aName, {} }));
    const auto cover = covered.find(router);
    const bool isCovered = holds && cover != covered.end() && held->acceptedAs <= cover->second;
    if ((applied != nullptr && applied->version >= aVersion.value) || isCovered) {
      ++result.inForce;
    } else {
      result.laggards.push_back(router);
    }
  }
  return result;
}

std::optional<mesh_message>
mesh_core::Held(applied_message::subject aWhat, const std::string& aName) const
{
  const mesh_fact* held = mImplementation->facts.Find(SubjectOf(aWhat, aName));
  return held == nullptr ? std::nullopt : std::optional(held->message);
}

router_id
mesh_core::PeerOf(link_id aLink) const
{
  const auto found = mImplementation->links.find(aLink);
  return found == mImplementation->links.end() ? router_id{} : found->second.peer;
}

} // namespace persimmon::peers
