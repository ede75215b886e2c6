#pragma once

#include "peers/meshaction.h"
#include "peers/meshevent.h"
#include "peers/meshoptions.h"
#include "peers/meshstatus.h"

#include <memory>
#include <optional>
#include <vector>

namespace persimmon::peers {

/// State machine of one process in the peer mesh. It selects the peers to link to, detects failed
/// members and schedules messages to peers within the byte budget. It does no input or output and
/// reads no clock.
class mesh_core
{
public:
  mesh_core(mesh_options aOptions, time_point aNow);
  ~mesh_core();
  mesh_core(mesh_core&&) noexcept;
  mesh_core& operator=(mesh_core&&) noexcept;

  /// Processes an event and returns the actions to perform, in order. aNow must not decrease
  /// between calls.
  std::vector<mesh_action> Handle(const mesh_event& aEvent, time_point aNow);

  [[nodiscard]] mesh_status Status(time_point aNow) const;
  /// Returns true after the start of the process until it holds all documents and tables that a
  /// peer held before it. False too when every linked peer is starting as well, when there are no
  /// peers, and after a limited time.
  [[nodiscard]] bool IsStarting() const;
  /// Routers that count as live, ordered by id; includes this process unless it is a leaf.
  [[nodiscard]] std::vector<router_id> LiveRouters() const;
  /// Returns which live routers apply at least this version of a document or table.
  [[nodiscard]] rollout_status RolloutOf(applied_message::object_kind aKind,
                                         const std::string& aName,
                                         revision aVersion) const;
  /// Returns the newest stored document or table with this name; empty if there is none.
  [[nodiscard]] std::optional<mesh_message> FindObject(applied_message::object_kind aKind,
                                                       const std::string& aName) const;
  /// Returns the peer of a link; empty until its hello record is received.
  [[nodiscard]] router_id PeerOf(link_id aLink) const;

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::peers
