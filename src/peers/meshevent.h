#pragma once

#include "peers/messages.h"
#include "peers/storeposition.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmon::peers {

/// Identifies a connection to a peer within this process.
using link_id = number_id<struct link_tag>;

/// A link is ready for frames; the peer has proved knowledge of the shared key.
struct link_opened
{
  link_id link;
  /// True when this process dialled.
  bool outgoing = false;
};

/// A link has ended, or could not be opened.
struct link_closed
{
  link_id link;
};

/// A frame was received over a link.
struct frame_received
{
  link_id link;
  std::string bytes;
};

/// This process publishes a message to the mesh.
struct publish_requested
{
  mesh_message message;
};

/// The addresses of routers from the instance list have changed.
struct seeds_changed
{
  std::vector<endpoint> addresses;
};

/// State of this process's connection to the platform's store.
struct store_state_changed
{
  /// The watch currently delivers changes.
  bool watchUpToDate = false;
  /// Documents and tables were listed at least once since this process started.
  bool hasList = false;
};

/// Whether the store may show an older copy to this process, from the first response of the store.
struct store_age_known
{
  /// The store has never come back from an older copy.
  bool neverRestored = false;
};

/// This process has read the store.
struct store_position_read
{
  store_position position;
  /// Every change up to the position was published by this process or received from a peer.
  bool isPublished = true;
};

/// Periodic timer, to be sent every mesh_options::urgentInterval.
struct timer_fired
{};

/// The process is about to stop.
struct stop_requested
{};

using mesh_event = std::variant<link_opened,
                                link_closed,
                                frame_received,
                                publish_requested,
                                seeds_changed,
                                store_state_changed,
                                store_age_known,
                                store_position_read,
                                timer_fired,
                                stop_requested>;

} // namespace persimmon::peers
