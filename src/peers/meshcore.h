#pragma once

#include "peers/meshaction.h"
#include "peers/meshevent.h"
#include "peers/meshoptions.h"
#include "peers/meshstatus.h"

#include <memory>
#include <optional>
#include <vector>

namespace persimmon::peers {

/// The decisions of one member of the peer mesh: whom to link to, who lives, and which message
/// goes to which peer within the byte budget. It does no input or output and reads no clock.
class mesh_core
{
public:
  mesh_core(mesh_options aOptions, time_point aNow);
  ~mesh_core();
  mesh_core(mesh_core&&) noexcept;
  mesh_core& operator=(mesh_core&&) noexcept;

  /// Takes an event in and returns what is to be done, in order. Times must not go back.
  std::vector<mesh_action> Handle(const mesh_event& aEvent, time_point aNow);

  [[nodiscard]] mesh_status Status(time_point aNow) const;
  [[nodiscard]] std::vector<router_id> Live() const;
  /// Tells which live routers apply a version of a document or table.
  [[nodiscard]] force_status InForce(applied_message::subject aWhat,
                                     const std::string& aName,
                                     revision aVersion) const;
  /// The newest document or table of a name that this process holds.
  [[nodiscard]] std::optional<mesh_message> Held(applied_message::subject aWhat,
                                                 const std::string& aName) const;
  /// Peer at the other end of a link; empty until its hello.
  [[nodiscard]] router_id PeerOf(link_id aLink) const;

private:
  class implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::peers
