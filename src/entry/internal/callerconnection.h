#pragma once

#include "base/clock.h"
#include "entry/internal/bodymemory.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>

namespace persimmon::entry {

/// A caller's connection as the kernel has it, which may be ahead of what has been read: the end
/// of the connection may wait behind unread bytes, and a request may have waited to be read.
/// Thread-safe.
class caller_connection
{
public:
  explicit caller_connection(int aSocket)
    : mSocket(aSocket)
  {
  }

  /// To be called before the socket is closed, after which its number may belong to another one.
  void Release();
  /// Returns whether the caller has ended its side of the connection, or the connection is broken.
  /// Does not block.
  [[nodiscard]] bool HasEnded() const;
  /// Returns how long ago the kernel received the latest bytes; zero where it does not tell.
  [[nodiscard]] duration SinceLastReceived() const;

  /// Sets whether a read is under way, which finds the end of the connection by itself.
  void SetReading(bool aIsReading);
  [[nodiscard]] bool IsReading() const;
  /// Sets when the kernel received the first bytes of the request that is being read.
  void SetRequestReceivedAt(time_point aTime);
  [[nodiscard]] time_point RequestReceivedAt() const;

  /// Counts a request that has been read, until its response ends.
  void OnRequest();
  void OnResponseEnded(time_point aNow);
  /// Counts a part of a response that has been queued, until it is written.
  void OnPartQueued();
  void OnPartWritten(time_point aNow);
  /// Returns whether a response is due, or waits to be written.
  [[nodiscard]] bool IsResponding() const;
  /// Returns whether parts of responses have not been written, or not been acknowledged by the
  /// caller's side.
  [[nodiscard]] bool HasUnsentBytes() const;
  /// Returns since when no request has been under way; nothing while one is. Bytes of a request
  /// that is being read do not count.
  [[nodiscard]] std::optional<time_point> IdleSince() const;

  /// Keeps memory for the body that is being read, until TakeBodyMemory().
  void KeepBodyMemory(std::shared_ptr<body_reservation> aMemory);
  /// Returns the memory of the body that has been read; nullptr when it needs none.
  [[nodiscard]] std::shared_ptr<body_reservation> TakeBodyMemory();
  [[nodiscard]] bool HasBodyMemory() const;

private:
  static constexpr int kReleased = -1;

  mutable std::mutex mMutex;
  int mSocket;
  bool mIsReading = false;
  time_point mRequestReceivedAt;
  /// Requests whose responses have not ended.
  std::size_t mUnanswered = 0;
  /// Parts of responses that have not been written.
  std::size_t mUnwritten = 0;
  time_point mIdleSince = steady_clock().Now();
  std::shared_ptr<body_reservation> mBodyMemory;
};

} // namespace persimmon::entry
