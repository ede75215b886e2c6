#pragma once

#include "base/ids.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace persimmon::relay {

/// Largest head of a CONNECT request.
constexpr std::size_t kMaxRequestBytes = 2048;

/// Progress of reading a CONNECT request.
enum class request_state
{
  incomplete,
  complete,
  invalid
};

/// Reads a CONNECT request from bytes as they arrive.
class connect_request
{
public:
  connect_request();
  ~connect_request();
  connect_request(const connect_request&) = delete;
  connect_request& operator=(const connect_request&) = delete;

  /// Adds bytes. A peer sends nothing behind the request before it is answered.
  request_state Feed(std::string_view aBytes);
  /// Address of the upstream.
  [[nodiscard]] const endpoint& Upstream() const { return mUpstream; }
  /// Credentials of the peer; empty when it sent none.
  [[nodiscard]] const std::string& Credentials() const { return mCredentials; }

private:
  struct parser;

  std::unique_ptr<parser> mParser;
  endpoint mUpstream;
  std::string mCredentials;
  std::size_t mBytes = 0;
};

} // namespace persimmon::relay
