#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace persimmon::standins {

/// Counts how often each call to the ledger was executed, over all instances of a process.
class execution_counter
{
public:
  /// Counts one execution and returns how many there were, this one included.
  std::uint64_t Count(const std::string& aKey, const std::string& aBody)
  {
    const std::lock_guard lock(mMutex);
    return ++mCounts[{ aKey, aBody }];
  }

private:
  struct call
  {
    std::string key;
    std::string body;

    auto operator<=>(const call&) const = default;
  };

  std::mutex mMutex;
  std::map<call, std::uint64_t> mCounts;
};

} // namespace persimmon::standins
