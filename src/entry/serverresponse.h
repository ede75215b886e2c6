#pragma once

#include "entry/serverrequest.h"

#include <string>
#include <vector>

namespace persimmon::entry {

/// A complete HTTP response. The server adds the Content-Length header.
struct server_response
{
  int status = 200;
  std::vector<server_header> headers;
  std::string body;
  /// Sends `Connection: close` and closes the connection after the response.
  bool closes = false;
};

} // namespace persimmon::entry
