#pragma once

#include "entry/internal/requestscanner.h"

#include <restinio/all.hpp>
#include <utility>

namespace persimmon::entry {

/// A TCP socket of the server that scans what it reads. A fault in the framing of a request looks
/// like an error of the connection, which RESTinio closes then.
class scanned_socket : public asio::ip::tcp::socket
{
public:
  using asio::ip::tcp::socket::socket;

  /// Reads as the base class does; RESTinio prescribes the name and the signature.
  // NOLINTNEXTLINE(readability-identifier-naming)
  template<typename Buffer, typename Handler>
  void async_read_some(const Buffer& aBuffer, Handler&& aHandler)
  {
    const asio::mutable_buffer buffer(aBuffer);
    const auto executor = asio::get_associated_executor(aHandler, get_executor());
    asio::ip::tcp::socket::async_read_some(
      aBuffer,
      asio::bind_executor(
        executor,
        [this, buffer, handler = std::forward<Handler>(aHandler)](const asio::error_code& aError,
                                                                  std::size_t aLength) mutable {
          const bool isSound = mScanner.Feed({ static_cast<const char*>(buffer.data()), aLength });
          handler(isSound ? aError : asio::error::invalid_argument, aLength);
        }));
  }

private:
  request_scanner mScanner;
};

} // namespace persimmon::entry
