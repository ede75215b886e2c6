#pragma once

#include "entry/serverrequest.h"

#include <string>
#include <vector>

namespace persimmon::entry {

/// A whole HTTP response. The server adds Content-Length.
struct server_response
{
  int status = 200;
  std::vector<server_header> headers;
  std::string body;
  /// Tells the caller that the connection closes after this answer, and closes it.
  bool closes = false;
};

} // namespace persimmon::entry
