#pragma once

#include "peers/member.h"
#include "peers/meshevent.h"
#include "peers/storeposition.h"

#include <string>
#include <variant>

namespace persimmon::peers {

/// Connects to an address. The result is a link_opened or link_closed event with this link id.
struct open_link
{
  link_id link;
  endpoint address;
};

/// Why this process closes a link.
enum class link_close_reason
{
  /// Another link to the same peer is kept.
  duplicate,
  /// The peer is no longer among the peers that this router selects.
  not_needed,
  /// No frame was received within the timeout.
  silent,
  /// The peer sent a malformed or unexpected frame.
  bad_frame,
  /// The link leads to this process itself.
  self,
  /// This process is stopping.
  stopping
};

/// Closes a link.
struct close_link
{
  link_id link;
  link_close_reason reason = link_close_reason::not_needed;
  std::string detail;
};

/// Sends an encoded frame over a link.
struct send_frame
{
  link_id link;
  std::string bytes;
};

/// Delivers a message to the process; `from` is the peer that forwarded it.
struct deliver_message
{
  mesh_message message;
  router_id from;
};

/// A router joined, was suspected, was declared dead or became alive again.
struct member_changed
{
  member entry;
};

/// The start of this process has ended; see mesh_core::IsStarting(). All that the peers have told
/// has been delivered.
struct start_ended
{};

/// The peers have told this process of every change up to a position; all of them have been
/// delivered.
struct store_position_reached
{
  store_position position;
};

using mesh_action = std::variant<open_link,
                                 close_link,
                                 send_frame,
                                 deliver_message,
                                 member_changed,
                                 start_ended,
                                 store_position_reached>;

/// Returns the name of a reason for logs.
const char*
LinkCloseReasonName(link_close_reason aReason);

} // namespace persimmon::peers
