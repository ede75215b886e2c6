#include "entry/internal/bodymemory.h"

#include <algorithm>
#include <utility>

namespace persimmon::entry {

body_reservation::~body_reservation()
{
  mMemory->GiveBack(mBytes);
}

std::shared_ptr<body_reservation>
body_memory::TryReserve(std::uint64_t aBytes)
{
  if (!Fits(aBytes)) {
    return nullptr;
  }
  mUsed += aBytes;
  return std::make_shared<body_reservation>(shared_from_this(), aBytes);
}

bool
body_memory::TryGrow(body_reservation& aReservation, std::uint64_t aBytes)
{
  // What has been read of a body is held anyway, so the only one may go on.
  const bool isOnly = mUsed == aReservation.mBytes;
  if (!isOnly && !Fits(aBytes)) {
    return false;
  }
  mUsed += aBytes;
  aReservation.mBytes += aBytes;
  return true;
}

void
body_memory::GiveBack(std::uint64_t aBytes)
{
  mUsed -= std::min(mUsed, aBytes);
  // A waiter that finds no room waits again, behind the others.
  std::list<waiter> waiters = std::exchange(mWaiters, {});
  for (const waiter& next : waiters) {
    next();
  }
}

} // namespace persimmon::entry
