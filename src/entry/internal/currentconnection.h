#pragma once

#include "entry/internal/callerconnection.h"

#include <asio/execution_context.hpp>
#include <memory>

namespace persimmon::entry {

/// The connection whose bytes an event loop is handling: RESTinio does not tell its request handler
/// which socket a request came from. For use on the event loop's thread only.
class current_connection : public asio::execution_context::service
{
public:
  // asio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit current_connection(asio::execution_context& aContext)
    : asio::execution_context::service(aContext)
  {
  }

  void Set(std::shared_ptr<caller_connection> aConnection) { mConnection = std::move(aConnection); }
  /// Returns nullptr outside the handling of bytes.
  [[nodiscard]] const std::shared_ptr<caller_connection>& Get() const { return mConnection; }

private:
  // asio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override { mConnection.reset(); }

  std::shared_ptr<caller_connection> mConnection;
};

} // namespace persimmon::entry
