#pragma once

#include "entry/entryevents.h"
#include "entry/internal/headtimelimit.h"
#include "entry/internal/requestscanner.h"

#include <memory>
#include <optional>
#include <restinio/all.hpp>
#include <utility>

namespace persimmon::entry {

/// A TCP socket of the server that scans what it reads. A fault in the framing of a request, or a
/// head that does not end within the limit of the event loop, looks like an error of the
/// connection, which RESTinio closes then.
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
    mIsReading = true;
    asio::ip::tcp::socket::async_read_some(
      aBuffer,
      asio::bind_executor(
        executor,
        [this, buffer, handler = std::forward<Handler>(aHandler)](const asio::error_code& aError,
                                                                  std::size_t aLength) mutable {
          mIsReading = false;
          const bool isSound = mScanner.Feed({ static_cast<const char*>(buffer.data()), aLength });
          asio::error_code error = aError;
          if (mIsHeadLate) {
            error = asio::error::timed_out;
          } else if (!isSound) {
            error = asio::error::invalid_argument;
          }
          LimitHeadTime();
          handler(error, aLength);
        }));
  }

private:
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
    if (mIsReading) {
      WriteLog(kRequestRejected, { { "cause", "head_not_ended" } });
      mIsHeadLate = true;
      cancel();
    }
  }

  request_scanner mScanner;
  bool mIsReading = false;
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
