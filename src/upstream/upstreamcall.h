#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/sharedtext.h"
#include "upstream/upstreamheader.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::upstream {

/// A relay through which a connection is opened.
struct call_tunnel
{
  endpoint relay;
  /// Value of Proxy-Authorization.
  std::string credentials;
};

/// An HTTP request to an upstream, with its connection options. The call ends as maybe_sent when
/// the head of the response is too large (base/responseheadsize.h).
struct upstream_call
{
  endpoint address;
  std::string method = "GET";
  /// Request target: path and query.
  std::string target = "/";
  std::vector<upstream_header> headers;
  /// Shared by the attempts of a request.
  shared_text body;
  /// Maximum time to establish the connection.
  duration connectTimeout{ 1000 };
  /// Maximum duration of the whole call; zero means unlimited.
  duration timeout;
  /// Largest body of the response, after which the call ends as maybe_sent; zero means unlimited,
  /// for a receiver that limits what it keeps.
  std::size_t maxBodyBytes = 0;
  /// Opens a new connection that is not reused by later calls. A pooled connection may be broken
  /// without notice; the call then ends as maybe_sent although the upstream received nothing, and a
  /// request that must not run twice could not be retried.
  bool freshConnection = false;
  /// The call may be sent once more, over another connection, when a kept one ends before any byte
  /// of the response: the upstream may have closed it while it was idle.
  bool isRepeatable = false;
  /// Only connects, without sending a request. The call ends as `whole` when the connection is
  /// established.
  bool connectOnly = false;
  /// The relay that passes the bytes on; nothing for a connection of this process's own. The call
  /// must use a fresh connection.
  std::optional<call_tunnel> tunnel;
};

} // namespace persimmon::upstream
