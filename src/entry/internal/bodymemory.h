#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace persimmon::entry {

/// Bodies up to this size need no reservation, in bytes.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;

class body_memory;

/// Memory that is reserved for one body; destruction gives it back.
class body_reservation
{
public:
  body_reservation(std::shared_ptr<body_memory> aMemory, std::uint64_t aBytes)
    : mMemory(std::move(aMemory))
    , mBytes(aBytes)
  {
  }
  ~body_reservation();
  body_reservation(const body_reservation&) = delete;
  body_reservation& operator=(const body_reservation&) = delete;

  [[nodiscard]] std::uint64_t Bytes() const { return mBytes; }

private:
  friend class body_memory;
  std::shared_ptr<body_memory> mMemory;
  std::uint64_t mBytes;
};

/// Divides the memory for bodies of requests among connections. A body is reserved as a whole
/// before it is read, so that bodies never wait for one another halfway. For one thread.
class body_memory : public std::enable_shared_from_this<body_memory>
{
public:
  /// Called when a reservation was given back, for a waiting body.
  using waiter = std::function<void()>;
  using ticket = std::list<waiter>::iterator;

  /// aTotal is in bytes; zero means unlimited.
  explicit body_memory(std::uint64_t aTotal)
    : mTotal(aTotal)
  {
  }

  [[nodiscard]] bool IsLimited() const { return mTotal > 0; }
  void SetTotal(std::uint64_t aTotal) { mTotal = aTotal; }
  /// Reserves memory for a body; nullptr when it must wait. A body that is larger than all the
  /// memory gets it when it is the only one.
  std::shared_ptr<body_reservation> TryReserve(std::uint64_t aBytes);
  /// Makes a reservation larger. Returns whether there was room.
  bool TryGrow(body_reservation& aReservation, std::uint64_t aBytes);
  /// Calls aWaiter once, as soon as memory is given back and the waiters before have been called.
  ticket Wait(waiter aWaiter) { return mWaiters.insert(mWaiters.end(), std::move(aWaiter)); }
  void StopWaiting(ticket aTicket) { mWaiters.erase(aTicket); }

  [[nodiscard]] std::uint64_t Used() const { return mUsed; }
  [[nodiscard]] std::size_t WaitingCount() const { return mWaiters.size(); }

private:
  friend class body_reservation;
  void GiveBack(std::uint64_t aBytes);
  [[nodiscard]] bool Fits(std::uint64_t aBytes) const
  {
    return mTotal == 0 || mUsed == 0 || mUsed + aBytes <= mTotal;
  }

  std::uint64_t mTotal;
  std::uint64_t mUsed = 0;
  std::list<waiter> mWaiters;
};

} // namespace persimmon::entry
