#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace persimmon::entry {

struct server_header
{
  std::string name;
  std::string value;
};

/// One HTTP request that a server received whole.
struct server_request
{
  std::string method;
  /// Path without the query.
  std::string path;
  /// Text after the question mark, or empty.
  std::string query;
  std::vector<server_header> headers;
  std::string body;
  /// Which of the server's loops carries the connection.
  std::size_t loop = 0;
  /// Path and query as the caller sent them.
  std::string target{};

  /// Returns the first header of that name, compared without case; empty when missing.
  [[nodiscard]] std::string Header(const std::string& aName) const;
  /// Returns a member of the query, or empty.
  [[nodiscard]] std::string QueryMember(const std::string& aName) const;
};

} // namespace persimmon::entry
