#pragma once

#include "app/router/decisionrecord.h"

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace persimmon::router {

/// Remembers the decisions over the latest requests, in shards with a lock each.
class decision_log
{
public:
  /// aCapacity bounds the number of records.
  explicit decision_log(std::size_t aCapacity);

  void Add(decision_record aRecord);
  /// Returns a request's record; null when it was forgotten or never seen.
  [[nodiscard]] std::shared_ptr<const decision_record> Find(const request_id& aRequest) const;

private:
  static constexpr std::size_t kShards = 8;

  struct shard
  {
    mutable std::mutex mutex;
    std::deque<request_id> order;
    std::unordered_map<request_id, std::shared_ptr<const decision_record>> records;
  };

  [[nodiscard]] static std::size_t IndexOf(const request_id& aRequest);

  std::size_t mCapacityPerShard;
  std::array<shard, kShards> mShards;
};

} // namespace persimmon::router
