#pragma once

#include "platform/instancelist.h"
#include "platform/objectstore.h"

#include <memory>

namespace persimmon::platform {

/// The platform's object API over HTTP. Not for use by two threads at once; each thread makes its
/// own.
class http_object_store
{
public:
  /// aBaseUrl is `http://ip:port`; aTimeout bounds each call but watches.
  http_object_store(std::string aBaseUrl, duration aTimeout);
  ~http_object_store();
  http_object_store(http_object_store&&) noexcept;
  http_object_store& operator=(http_object_store&&) noexcept;

  std::optional<stored_object> Get(const object_key& aKey);
  std::optional<object_list> List(const std::string& aKind);
  std::optional<revision> Put(const object_key& aKey,
                              const std::string& aValue,
                              const write_condition& aCondition);
  std::optional<revision> Delete(const object_key& aKey, revision aExpected);
  /// Waits until something of these kinds changes after aFrom, at most aWait.
  std::optional<object_changes> Watch(const std::vector<std::string>& aKinds,
                                      revision aFrom,
                                      duration aWait);
  /// Returns the platform's lagging list of instances.
  std::optional<std::vector<listed_instance>> ListInstances();
  /// Ends the call in progress within about a second, and every later one at once. May be called
  /// from another thread.
  void Cancel();
  [[nodiscard]] const store_failure& LastFailure() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

static_assert(object_store<http_object_store>);

} // namespace persimmon::platform
