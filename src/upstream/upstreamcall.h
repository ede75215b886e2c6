#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "upstream/upstreamheader.h"

#include <string>
#include <vector>

namespace persimmon::upstream {

/// One HTTP request to an upstream.
struct upstream_call
{
  endpoint address;
  std::string method = "GET";
  /// Path with the query.
  std::string target = "/";
  std::vector<upstream_header> headers;
  std::string body;
  duration connectTimeout{ 1000 };
  /// Bounds the whole call; zero means no bound.
  duration timeout;
  /// Use a connection that no other call has used or will use. A reused one may have died
  /// unnoticed, and then nobody knows whether the call was run; it is never sent twice.
  bool freshConnection = false;
  /// Only connect and send nothing; the end is whole when the connection was made.
  bool connectOnly = false;
};

} // namespace persimmon::upstream
