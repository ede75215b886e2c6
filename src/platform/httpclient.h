#pragma once

#include "base/clock.h"
#include "base/headerfield.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::platform {

/// Header of a request or response of http_client.
using http_header = header_field;

/// Largest body of a response that is kept if a request names no other bound: a list of the
/// platform.
constexpr std::size_t kMaxHttpBodyBytes = 64U << 20U;

/// An HTTP request of http_client.
struct http_request
{
  std::string method = "GET";
  /// `http://ip:port/path?query`.
  std::string url;
  std::vector<http_header> headers;
  std::string body;
  /// Largest body of the response, in bytes; the request fails above it.
  std::size_t maxBodyBytes = kMaxHttpBodyBytes;
  /// Covers the whole call, from connecting to the last byte of the response.
  duration timeout{ 5000 };
  /// Sends over a new connection, which is closed afterwards. libcurl silently repeats a request
  /// when a reused connection turns out to be closed.
  bool freshConnection = false;
};

/// A complete HTTP response.
struct http_response
{
  int status = 0;
  std::vector<http_header> headers;
  std::string body;

  /// Returns the value of the first header with that name, compared case-insensitively; empty when
  /// missing.
  [[nodiscard]] std::string Header(const std::string& aName) const;
};

/// Whether a failed request can have reached the server.
enum class http_failure
{
  /// The request did not fail.
  none,
  /// No byte of the request was sent.
  not_sent,
  /// The request may have reached the server.
  maybe_sent
};

/// Blocking HTTP client over libcurl for control calls. Not thread-safe, except for Cancel().
class http_client
{
public:
  http_client();
  ~http_client();
  http_client(http_client&&) noexcept;
  http_client& operator=(http_client&&) noexcept;

  /// Sends a request and waits for the whole response. Returns nothing when the request fails, also
  /// when the response is too large to be kept; see LastFailure().
  std::optional<http_response> Send(const http_request& aRequest);
  /// Aborts the call in progress within about a second and every later call at once. May be called
  /// from any thread, to stop a thread that waits for a response.
  void Cancel();
  /// Returns whether the last request can have reached the server; `none` when it succeeded.
  [[nodiscard]] http_failure LastFailure() const;
  /// Returns the error text of the last failed request, for logs.
  [[nodiscard]] const std::string& LastFailureText() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::platform
