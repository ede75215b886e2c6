#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Notifications that the gateway process sends to every exchange in progress.
class active_exchange
{
public:
  virtual ~active_exchange() = default;
  /// Detects silent upstreams, leaves those whose groups are broken, and sends a concurrent attempt
  /// when one is due; called frequently, and when a group is found to be broken.
  virtual void CheckProgress() = 0;
  /// The set of upstreams has changed, or a slot is free; a waiting call chooses again.
  virtual void OnUpstreamsChanged() = 0;
  /// Position of the call's priority, 0 for the most urgent.
  [[nodiscard]] virtual std::size_t Rank() const = 0;
  [[nodiscard]] virtual time_point ArrivedAt() const = 0;
  /// The process is about to exit; the exchange ends with a final response.
  virtual void OnShutdown() = 0;
};

/// Owns the exchanges in progress. For use on the event loop's thread only.
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
  /// Returns a copy of the list, so that exchanges may end while the result is iterated. The most
  /// urgent come first, and of these the earliest.
  [[nodiscard]] std::vector<std::shared_ptr<active_exchange>> Snapshot() const
  {
    std::vector<std::shared_ptr<active_exchange>> snapshot;
    snapshot.reserve(mExchanges.size());
    for (const auto& [key, exchange] : mExchanges) {
      snapshot.push_back(exchange);
    }
    std::sort(snapshot.begin(), snapshot.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft->Rank(), aLeft->ArrivedAt()) <
             std::pair(aRight->Rank(), aRight->ArrivedAt());
    });
    return snapshot;
  }

private:
  std::unordered_map<active_exchange*, std::shared_ptr<active_exchange>> mExchanges;
};

} // namespace persimmon::gateway
