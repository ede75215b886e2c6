#include "gateway/heldcalls.h"

#include <utility>

namespace persimmon::gateway {

bool
held_calls::TryAdd(held_call& aCall)
{
  const std::size_t bytes = aCall.request.body.size();
  if (mCalls.size() >= kMaxHeldCalls || mBytes + bytes > kMaxHeldBytes) {
    return false;
  }
  mBytes += bytes;
  mCalls.push_back(std::move(aCall));
  return true;
}

std::vector<held_call>
held_calls::TakeAll()
{
  mBytes = 0;
  return std::exchange(mCalls, {});
}

} // namespace persimmon::gateway
