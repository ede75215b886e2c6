#pragma once

#include "base/ids.h"

#include <asio.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::upstream {

/// What a raw_server does with the connection after a response.
enum class raw_end
{
  keep,
  close,
  /// Resets the connection.
  reset,
  /// Stops listening, then closes.
  stop_listening
};

/// Raw response bytes and what follows them.
struct raw_response
{
  std::string bytes;
  raw_end end = raw_end::keep;
};

/// TCP server that sends prepared responses in the order of the requests. Each request must arrive
/// in a single read. Requests beyond the prepared responses get no bytes.
class raw_server
{
public:
  explicit raw_server(std::vector<raw_response> aResponses)
    : mResponses(std::move(aResponses))
  {
    Accept();
    mThread = std::thread([this] { mContext.run(); });
  }

  ~raw_server()
  {
    mContext.stop();
    mThread.join();
  }

  [[nodiscard]] const endpoint& Address() const { return mAddress; }

  int RequestCount() const
  {
    const std::lock_guard lock(mMutex);
    return mRequestCount;
  }

  void WaitForRequest() const
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mRequestCount > 0; });
  }

  void WaitForClosedConnection() const
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this] { return mClosedConnections > 0; });
  }

private:
  using tcp = asio::ip::tcp;

  struct connection
  {
    tcp::socket socket;
    std::array<char, 65536> buffer{};
  };

  void Accept()
  {
    mAcceptor.async_accept([this](const asio::error_code& aError, tcp::socket aSocket) {
      if (!aError) {
        Read(std::make_shared<connection>(connection{ std::move(aSocket) }));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<connection>& aConnection)
  {
    aConnection->socket.async_read_some(
      asio::buffer(aConnection->buffer),
      [this, aConnection](const asio::error_code& aError, std::size_t) {
        if (aError) {
          Increment(mClosedConnections);
        } else {
          Respond(aConnection);
        }
      });
  }

  void Respond(const std::shared_ptr<connection>& aConnection)
  {
    const auto index = static_cast<std::size_t>(RequestCount());
    const raw_response response = index < mResponses.size() ? mResponses[index] : raw_response{};
    Increment(mRequestCount);
    asio::error_code ignored;
    asio::write(aConnection->socket, asio::buffer(response.bytes), ignored);
    if (response.end == raw_end::stop_listening) {
      mAcceptor.close(ignored);
    }
    if (response.end == raw_end::reset) {
      // The destructor would end the connection in order.
      aConnection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      aConnection->socket.close(ignored);
    }
    if (response.end == raw_end::keep) {
      Read(aConnection);
    }
  }

  void Increment(int& aCount)
  {
    {
      const std::lock_guard lock(mMutex);
      ++aCount;
    }
    mChanged.notify_all();
  }

  std::vector<raw_response> mResponses;
  asio::io_context mContext;
  tcp::acceptor mAcceptor{ mContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  endpoint mAddress{ "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port()) };
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  int mRequestCount = 0;
  int mClosedConnections = 0;
  std::thread mThread;
};

} // namespace persimmon::upstream
