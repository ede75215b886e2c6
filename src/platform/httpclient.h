#pragma once

#include "base/clock.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::platform {

struct http_header
{
  std::string name;
  std::string value;
};

struct http_request
{
  std::string method = "GET";
  /// `http://ip:port/path?query`.
  std::string url;
  std::vector<http_header> headers;
  std::string body;
  duration timeout{ 5000 };
  /// Use a connection that no other request has used, so that nothing is silently sent twice.
  bool freshConnection = false;
};

struct http_response
{
  int status = 0;
  std::vector<http_header> headers;
  std::string body;

  /// Returns the first header of that name, compared without case; empty when missing.
  [[nodiscard]] std::string Header(const std::string& aName) const;
};

/// How far a request that failed had come.
enum class http_failure
{
  none,
  /// No connection was made: nothing was sent.
  not_sent,
  /// The request may have reached the server.
  maybe_sent
};

/// A blocking HTTP client over libcurl for control calls; one thread uses one client at a time.
class http_client
{
public:
  http_client();
  ~http_client();
  http_client(http_client&&) noexcept;
  http_client& operator=(http_client&&) noexcept;

  /// Sends a request and waits for the whole response.
  std::optional<http_response> Send(const http_request& aRequest);
  /// Ends the call in progress within about a second, and every later one at once. May be called
  /// from another thread, so that a waiting thread can be stopped.
  void Cancel();
  /// Tells how far the last failed request came.
  [[nodiscard]] http_failure LastFailure() const;
  /// Text of the last failure for logs.
  [[nodiscard]] const std::string& LastFailureText() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::platform
