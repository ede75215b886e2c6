#include "gateway/heldcalls.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmon::gateway {

bool
held_calls::TryAdd(held_call& aCall)
{
  const std::size_t bytes = aCall.request.body.Size();
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

std::vector<held_call>
held_calls::TakeExpired(time_point aNow)
{
  const auto firstExpired = std::stable_partition(
    mCalls.begin(), mCalls.end(), [aNow](const held_call& aCall) { return aCall.deadline > aNow; });
  std::vector<held_call> expired(std::make_move_iterator(firstExpired),
                                 std::make_move_iterator(mCalls.end()));
  mCalls.erase(firstExpired, mCalls.end());
  for (const held_call& call : expired) {
    mBytes -= call.request.body.Size();
  }
  return expired;
}

} // namespace persimmon::gateway
