#pragma once

#include "app/router/lostupstream.h"
#include "base/ids.h"
#include "routing/admissionaction.h"

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace persimmon::router {

class exchange;

/// The requests that have not ended, in shards with a lock each.
class request_registry
{
public:
  void Add(const request_id& aRequest, std::shared_ptr<exchange> aExchange);
  void Remove(const request_id& aRequest);
  [[nodiscard]] std::shared_ptr<exchange> Find(const request_id& aRequest) const;
  [[nodiscard]] std::vector<std::shared_ptr<exchange>> All() const;
  [[nodiscard]] std::size_t Count() const;
  /// Tells requests what their admission decided.
  void CarryOut(const std::vector<routing::admission_action>& aActions) const;
  /// Tells a service's requests that wait for admission that no upstream is there.
  void RefuseWaiting(const service_name& aService) const;
  /// Tells the requests that run on an upstream that it is lost.
  void TellLost(const lost_upstream& aLost) const;

private:
  static constexpr std::size_t kShards = 16;

  struct shard
  {
    mutable std::mutex mutex;
    std::unordered_map<request_id, std::shared_ptr<exchange>> exchanges;
  };

  shard& ShardOf(const request_id& aRequest);
  [[nodiscard]] const shard& ShardOf(const request_id& aRequest) const;

  std::array<shard, kShards> mShards;
};

} // namespace persimmon::router
