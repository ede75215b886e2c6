#pragma once

#include "standins/engine/memberboard.h"

#include <mutex>
#include <set>
#include <shared_mutex>

namespace persimmon::standins {

/// The member board of a process, for use by several threads. Its lock is the innermost.
class shared_board
{
public:
  void Report(const endpoint& aAddress, const member_report& aReport)
  {
    const std::unique_lock lock(mMutex);
    mBoard.Report(aAddress, aReport);
  }

  void Forget(const endpoint& aAddress)
  {
    const std::unique_lock lock(mMutex);
    mBoard.Forget(aAddress);
  }

  /// Calls a function with the board while it is locked.
  template<typename Function>
  auto Read(Function&& aFunction) const
  {
    const std::shared_lock lock(mMutex);
    return aFunction(mBoard);
  }

private:
  mutable std::shared_mutex mMutex;
  member_board mBoard;
};

} // namespace persimmon::standins
