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
  /// Use a connection that no other call has used or will use. A reused connection may have died
  /// unnoticed; the call then ends as maybe_sent although nothing arrived, which a call that may
  /// run only once cannot afford.
  bool freshConnection = false;
  /// Only connect and send nothing; the end is whole when the connection was made.
  bool connectOnly = false;
};

} // namespace persimmon::upstream
