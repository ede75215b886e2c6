#pragma once

#include "peers/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmon::peers {

/// One connection to a peer, numbered by its process.
using link_id = number_id<struct link_tag>;

/// A link is ready for frames: the peer has proved that it knows the key.
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

struct frame_received
{
  link_id link;
  std::string bytes;
};

/// This process has something to tell its peers.
struct publish_requested
{
  mesh_message message;
};

/// Addresses of routers from settings and the instance list.
struct seeds_changed
{
  std::vector<endpoint> addresses;
};

/// How the platform's service does, as this process sees it.
struct store_state_changed
{
  /// Changes arrive by the watch at present.
  bool fresh = false;
  /// Documents and tables were listed at least once in this life.
  bool listed = false;
};

/// Time has passed; to be sent every mesh_options::urgentInterval.
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
                                timer_fired,
                                stop_requested>;

} // namespace persimmon::peers
