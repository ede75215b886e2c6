#pragma once

#include "base/ids.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace persimmon::gateway {

/// What the process tells every call in progress.
class active_exchange
{
public:
  virtual ~active_exchange() = default;
  /// Looks for silence of its upstreams; called often.
  virtual void CheckProgress() = 0;
  /// Upstreams have changed; a call that waits may find exchange.
  virtual void OnUpstreamsChanged() = 0;
  /// The group of this head stands still.
  virtual void OnGroupBroken(const instance_id& aHead) = 0;
  /// The process ends now; the call gets its last answer.
  virtual void OnShutdown() = 0;
};

/// The calls in progress. For use on the loop's thread only.
class exchange_registry
{
public:
  void Add(std::shared_ptr<active_exchange> aExchange)
  {
    active_exchange* key = aExchange.get();
    mExchanges.emplace(key, std::move(aExchange));
  }
  void Remove(active_exchange* aExchange) { mExchanges.erase(aExchange); }
  [[nodiscard]] std::size_t Count() const { return mExchanges.size(); }
  /// Returns all, so that a caller may end some while it goes through them.
  [[nodiscard]] std::vector<std::shared_ptr<active_exchange>> Snapshot() const
  {
    std::vector<std::shared_ptr<active_exchange>> snapshot;
    snapshot.reserve(mExchanges.size());
    for (const auto& [key, exchange] : mExchanges) {
      snapshot.push_back(exchange);
    }
    return snapshot;
  }

private:
  std::unordered_map<active_exchange*, std::shared_ptr<active_exchange>> mExchanges;
};

} // namespace persimmon::gateway
