#pragma once

#include "peers/member.h"
#include "peers/meshevent.h"

#include <string>
#include <variant>

namespace persimmon::peers {

/// Connect to an address; ends in link_opened or link_closed with this number.
struct open_link
{
  link_id link;
  endpoint address;
};

enum class link_reason
{
  /// Another link to the same peer stays.
  duplicate,
  /// This router no longer has the peer among its peers.
  not_needed,
  /// Nothing was heard for too long.
  silent,
  /// The peer sent something that no sound peer sends.
  bad_frame,
  /// The link leads to this process itself.
  self,
  /// The process stops.
  stopping
};

struct close_link
{
  link_id link;
  link_reason why = link_reason::not_needed;
  std::string detail;
};

struct send_frame
{
  link_id link;
  std::string bytes;
};

/// Hand a message to the process; `from` is the peer that sent it on.
struct deliver_message
{
  mesh_message message;
  router_id from;
};

/// A router came, was suspected, died or came back.
struct member_changed
{
  member entry;
};

using mesh_action =
  std::variant<open_link, close_link, send_frame, deliver_message, member_changed>;

/// Name of a reason for logs.
const char*
LinkReasonName(link_reason aReason);

} // namespace persimmon::peers
