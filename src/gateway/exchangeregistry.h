#pragma once

#include "base/ids.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace persimmon::gateway {

/// What the process tells every call in progress.
class live_exchange
{
public:
  virtual ~live_exchange() = default;
  /// Looks for silence of its upstreams; called often.
  virtual void Watch() = 0;
  /// Upstreams have changed; a call that waits may find one.
  virtual void UpstreamsChanged() = 0;
  /// The group of this head stands still.
  virtual void GroupLost(const instance_id& aHead) = 0;
  /// The process ends now; the call gets its last answer.
  virtual void Stop() = 0;
};

/// The calls in progress. For use on the loop's thread only.
class exchange_registry
{
public:
  void Add(std::shared_ptr<live_exchange> aExchange)
  {
    live_exchange* key = aExchange.get();
    mExchanges.emplace(key, std::move(aExchange));
  }
  void Remove(live_exchange* aExchange) { mExchanges.erase(aExchange); }
  [[nodiscard]] std::size_t Count() const { return mExchanges.size(); }
  /// Returns all, so that a caller may end some while it goes through them.
  [[nodiscard]] std::vector<std::shared_ptr<live_exchange>> All() const
  {
    std::vector<std::shared_ptr<live_exchange>> all;
    all.reserve(mExchanges.size());
    for (const auto& [key, one] : mExchanges) {
      all.push_back(one);
    }
    return all;
  }

private:
  std::unordered_map<live_exchange*, std::shared_ptr<live_exchange>> mExchanges;
};

} // namespace persimmon::gateway
