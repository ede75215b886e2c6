#pragma once

#include "base/clock.h"
#include "base/headerfield.h"
#include "base/sharedtext.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::entry {

/// Header of a caller's request or of the response to it.
using server_header = header_field;

/// A completely received HTTP request.
struct server_request
{
  std::string method;
  /// Path without the query.
  std::string path;
  /// Query string without the question mark; empty when there is none.
  std::string query;
  std::vector<server_header> headers;
  /// Shared with the memory in which it was received.
  shared_text body;
  /// Index of the event loop that serves the connection.
  std::size_t loop = 0;
  /// Request target (path and query) as sent by the client.
  std::string target{};
  /// When the kernel received its first bytes, which may be well before they were read; nothing
  /// when it is not known.
  std::optional<time_point> receivedAt{};

  /// Returns the value of the first header with this name (case-insensitive); empty when missing.
  [[nodiscard]] std::string Header(const std::string& aName) const;
  /// Returns the value of a query parameter, without percent-decoding; empty when missing.
  [[nodiscard]] std::string QueryMember(const std::string& aName) const;
};

} // namespace persimmon::entry
