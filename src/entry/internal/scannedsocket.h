#pragma once

#include "entry/entryevents.h"
#include "entry/internal/callerconnection.h"
#include "entry/internal/currentconnection.h"
#include "entry/internal/headtimelimit.h"
#include "entry/internal/openconnections.h"
#include "entry/internal/requestscanner.h"

#include <algorithm>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <restinio/all.hpp>
#include <string>
#include <utility>

namespace persimmon::entry {

/// Time for which a body waits for memory before its request is refused. A caller that sees nothing
/// of its request being read gives up after about a second.
constexpr duration kMaxBodyWait{ 700 };
/// Time for which bytes of a refused request are read and dropped, so that its caller gets the
/// response instead of a reset.
constexpr duration kRefusalLinger{ 2000 };
/// Response to a request whose body finds no memory. It has not been passed on, and its connection
/// ends with it.
constexpr std::string_view kBodyRefusal =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: text/plain\r\n"
  "Content-Length: 17\r\nConnection: close\r\n\r\nno_memory_for_now";

/// A TCP socket of the server that scans what it reads. A fault in the framing of a request, or a
/// head that does not end within the limit of the event loop, looks like an error of the
/// connection, which RESTinio closes then. A body is read only once there is memory for it.
class scanned_socket : public asio::ip::tcp::socket
{
public:
  using asio::ip::tcp::socket::socket;

  ~scanned_socket() { ReleaseConnection(); }
  scanned_socket(const scanned_socket&) = delete;
  scanned_socket& operator=(const scanned_socket&) = delete;
  scanned_socket(scanned_socket&&) = default;
  scanned_socket& operator=(scanned_socket&&) = default;

  /// Closes as the base class does; RESTinio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void close()
  {
    ReleaseConnection();
    asio::ip::tcp::socket::close();
  }

  /// Reads as the base class does; RESTinio prescribes the name and the signature.
  // NOLINTNEXTLINE(readability-identifier-naming)
  template<typename Buffer, typename Handler>
  void async_read_some(const Buffer& aBuffer, Handler&& aHandler)
  {
    const asio::mutable_buffer buffer(aBuffer);
    const auto executor = asio::get_associated_executor(aHandler, get_executor());
    const bool isNew = !mConnection;
    if (isNew) {
      mConnection = std::make_shared<caller_connection>(native_handle());
      mOpenConnections =
        asio::use_service<open_connections_service>(get_executor().context()).Connections();
      mMustEnd = mOpenConnections->IsFull();
      mOpenConnections->Add(mConnection, [this] { return CloseIfIdle(); });
    }
    using handler_type = std::decay_t<Handler>;
    // The read may have to wait for memory, so that its handler is kept.
    const auto kept = std::make_shared<handler_type>(std::forward<Handler>(aHandler));
    if (isNew && mMustEnd) {
      // No descriptor is left for it.
      asio::post(executor, [this, kept] { OnRead(asio::error::connection_aborted, {}, *kept); });
      return;
    }
    Read(buffer,
         [this, executor, buffer, kept](const asio::error_code& aError, std::size_t aLength) {
           asio::dispatch(executor, [this, buffer, kept, aError, aLength] {
             OnRead(aError, { static_cast<const char*>(buffer.data()), aLength }, *kept);
           });
         });
  }

private:
  using read_handler = std::function<void(const asio::error_code&, std::size_t)>;

  /// A read that waits for memory for the body.
  struct waiting_read
  {
    asio::mutable_buffer buffer;
    read_handler handler;
    std::uint64_t bytes = 0;
    asio::steady_timer timer;
    /// Set while it waits for others to give memory back.
    std::optional<body_memory::ticket> ticket{};
    bool isRefused = false;
  };

  [[nodiscard]] body_memory& Bodies() const { return *mOpenConnections->Bodies(); }

  /// Reads once there is memory for what is to come.
  void Read(const asio::mutable_buffer& aBuffer, read_handler aHandler)
  {
    const std::uint64_t missing = MissingBodyBytes();
    if (missing > 0 && !ReserveBody(missing)) {
      WaitForMemory(aBuffer, std::move(aHandler), missing);
      return;
    }
    mConnection->SetReading(true);
    asio::ip::tcp::socket::async_read_some(aBuffer, std::move(aHandler));
  }

  /// Returns the memory that the present body needs beyond what is reserved for it.
  [[nodiscard]] std::uint64_t MissingBodyBytes() const
  {
    const std::uint64_t left = mScanner.ContentLeft();
    const std::uint64_t needed = mBodyBytes + left;
    const std::uint64_t reserved = mReserved ? mReserved->Bytes() : 0;
    return left == 0 || needed <= std::max<std::uint64_t>(reserved, kSmallBodyBytes)
             ? 0
             : needed - reserved;
  }

  bool ReserveBody(std::uint64_t aBytes)
  {
    // Where nothing is limited, bodies may be freed by any thread.
    if (!Bodies().IsLimited()) {
      return true;
    }
    if (mReserved) {
      return Bodies().TryGrow(*mReserved, aBytes);
    }
    mReserved = Bodies().TryReserve(aBytes);
    return mReserved != nullptr;
  }

  void WaitForMemory(const asio::mutable_buffer& aBuffer,
                     read_handler aHandler,
                     std::uint64_t aBytes)
  {
    mWaiting = std::make_shared<waiting_read>(
      waiting_read{ aBuffer, std::move(aHandler), aBytes, asio::steady_timer(get_executor()) });
    WaitInLine();
    mWaiting->timer.expires_after(std::chrono::milliseconds(kMaxBodyWait.ms));
    mWaiting->timer.async_wait(
      [this, weak = std::weak_ptr(mWaiting)](const asio::error_code& aError) {
        if (!aError && !weak.expired()) {
          RefuseBody();
        }
      });
  }

  void WaitInLine()
  {
    // A connection that is closed while it waits leaves the line with its socket.
    mWaiting->ticket = Bodies().Wait([this, weak = std::weak_ptr(mWaiting)] {
      if (const auto waiting = weak.lock()) {
        waiting->ticket.reset();
        OnMemoryGivenBack();
      }
    });
  }

  void OnMemoryGivenBack()
  {
    const auto waiting = mWaiting;
    if (waiting->isRefused) {
      return;
    }
    if (!ReserveBody(waiting->bytes)) {
      WaitInLine();
      return;
    }
    mWaiting.reset();
    waiting->timer.cancel();
    mConnection->SetReading(true);
    asio::ip::tcp::socket::async_read_some(waiting->buffer, std::move(waiting->handler));
  }

  /// Refuses the request whose body waits, unless an earlier one of the connection is unanswered:
  /// then the body waits on.
  void RefuseBody()
  {
    if (mConnection->IsResponding()) {
      return;
    }
    const auto waiting = mWaiting;
    waiting->isRefused = true;
    WriteLog(kRequestRejected,
             { { "cause", "no_body_memory" },
               { "bytes", std::to_string(waiting->bytes) },
               { "in_use", std::to_string(Bodies().Used()) },
               { "waiting", std::to_string(Bodies().WaitingCount()) } });
    asio::async_write(
      static_cast<asio::ip::tcp::socket&>(*this),
      asio::buffer(kBodyRefusal),
      [this, weak = std::weak_ptr(waiting)](const asio::error_code& aError, std::size_t) {
        if (weak.expired()) {
          return;
        }
        asio::error_code ignored;
        shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        if (aError) {
          EndRefused();
          return;
        }
        mWaiting->timer.expires_after(std::chrono::milliseconds(kRefusalLinger.ms));
        mWaiting->timer.async_wait([this, weak](const asio::error_code& aEnd) {
          if (!aEnd && !weak.expired()) {
            EndRefused();
          }
        });
        DropUnread();
      });
  }

  /// Reads and drops what the caller still sends.
  void DropUnread()
  {
    asio::ip::tcp::socket::async_read_some(
      mWaiting->buffer,
      [this, weak = std::weak_ptr(mWaiting)](const asio::error_code& aError, std::size_t) {
        if (weak.expired()) {
          return;
        }
        if (aError) {
          EndRefused();
        } else {
          DropUnread();
        }
      });
  }

  /// Lets RESTinio close the connection of a refused request.
  void EndRefused()
  {
    const auto waiting = std::exchange(mWaiting, nullptr);
    mMustEnd = true;
    waiting->handler(asio::error::connection_aborted, 0);
  }

  /// Scans what was read and passes it on.
  template<typename Handler>
  void OnRead(asio::error_code aError, std::string_view aBytes, Handler& aHandler)
  {
    mConnection->SetReading(false);
    const time_point receivedAt = steady_clock().Now() - mConnection->SinceLastReceived();
    if (mScanner.IsBetweenRequests()) {
      mConnection->SetRequestReceivedAt(receivedAt);
    }
    const std::size_t heads = mScanner.EndedHeads();
    const bool isSound = mScanner.Feed(aBytes);
    CountBody(heads != mScanner.EndedHeads(), aBytes.size());
    if (mIsHeadLate || (mMustEnd && aBytes.empty())) {
      aError = asio::error::timed_out;
    } else if (!isSound) {
      aError = asio::error::invalid_argument;
    }
    mMustEnd = false;
    LimitHeadTime();
    auto& current = asio::use_service<current_connection>(get_executor().context());
    current.Set(mConnection);
    aHandler(aError, aBytes.size());
    current.Set(nullptr);
    if (heads != mScanner.EndedHeads() && mScanner.IsWithinHead()) {
      // The same bytes have begun another request.
      mConnection->SetRequestReceivedAt(receivedAt);
    }
  }

  /// Counts the bytes of the present body, and passes its memory on with its last ones.
  void CountBody(bool aIsNew, std::size_t aBytes)
  {
    if (mReserved && (aIsNew || mScanner.IsBetweenRequests())) {
      mConnection->KeepBodyMemory(std::exchange(mReserved, nullptr));
    }
    mBodyBytes = aIsNew ? 0 : mBodyBytes + aBytes;
  }

  /// Ends the connection when it waits for a request of which nothing has come.
  bool CloseIfIdle()
  {
    if (!mConnection->IsReading() || !mScanner.IsBetweenRequests()) {
      return false;
    }
    mMustEnd = true;
    cancel();
    return true;
  }

  /// Starts the time of a head of which a part has arrived, or ends it with the head.
  void LimitHeadTime()
  {
    const std::size_t heads = mScanner.EndedHeads();
    if (std::exchange(mEndedHeads, heads) != heads || !mScanner.IsWithinHead()) {
      mHeadTimer.reset();
    }
    const duration limit = asio::use_service<head_time_limit>(get_executor().context()).Get();
    if (mHeadTimer || !mScanner.IsWithinHead() || limit.ms <= 0) {
      return;
    }
    mHeadTimer.emplace(get_executor(), std::chrono::milliseconds(limit.ms));
    mTimerOwner = std::make_shared<char>();
    mHeadTimer->async_wait(
      [this, owner = std::weak_ptr<char>(mTimerOwner)](const asio::error_code& aError) {
        if (!aError && !owner.expired()) {
          OnHeadLate();
        }
      });
  }

  void OnHeadLate()
  {
    mHeadTimer.reset();
    if (mConnection->IsReading()) {
      WriteLog(kRequestRejected, { { "cause", "head_not_ended" } });
      mIsHeadLate = true;
      cancel();
    }
  }

  void ReleaseConnection()
  {
    // Once: the second time the event loop may be gone.
    const auto connections = std::exchange(mOpenConnections, nullptr);
    if (!connections) {
      return;
    }
    if (mWaiting && mWaiting->ticket) {
      connections->Bodies()->StopWaiting(*mWaiting->ticket);
    }
    if (mWaiting) {
      // Its handler may hold the last reference to the object that owns this socket.
      asio::post(get_executor(), [waiting = std::move(mWaiting)] {});
    }
    mReserved.reset();
    connections->Remove(*mConnection);
    mConnection->Release();
  }

  request_scanner mScanner;
  /// Empty before the first read.
  std::shared_ptr<caller_connection> mConnection;
  /// Those of the event loop; set with mConnection.
  std::shared_ptr<open_connections> mOpenConnections;
  /// Bytes that have been read since the head of the present request.
  std::uint64_t mBodyBytes = 0;
  /// Memory for the body that is being read; nullptr for none and for a small one.
  std::shared_ptr<body_reservation> mReserved;
  /// The read that waits for memory; nullptr when none does.
  std::shared_ptr<waiting_read> mWaiting;
  /// True when the connection is to be closed as if it were broken.
  bool mMustEnd = false;
  /// True once the time of a head is over.
  bool mIsHeadLate = false;
  /// Heads that had ended at the last reading.
  std::size_t mEndedHeads = 0;
  /// Ends the time of the head that is arriving; empty when none is.
  std::optional<asio::steady_timer> mHeadTimer;
  /// Expires with the socket, and when another timer starts: a timer's handler may run after both.
  std::shared_ptr<char> mTimerOwner;
};

} // namespace persimmon::entry
