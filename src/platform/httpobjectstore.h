#pragma once

#include "platform/instancelist.h"
#include "platform/objectstore.h"

#include <memory>

namespace persimmon::platform {

/// Blocking HTTP client of the platform's object store. Not thread-safe, except for Cancel(): each
/// thread creates its own.
class http_object_store
{
public:
  /// aBaseUrl is `http://ip:port`; aTimeout limits each call except Watch().
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
  /// Returns the changes of these kinds after aFrom; waits at most aWait for the first one.
  std::optional<object_changes> Watch(const std::vector<std::string>& aKinds,
                                      revision aFrom,
                                      duration aWait);
  /// Returns the platform's list of instances, which lags behind their actual state.
  std::optional<std::vector<listed_instance>> ListInstances();
  /// Aborts the call in progress within about a second and every later call at once. May be called
  /// from any thread.
  void Cancel();
  /// Returns why the last call gave no result; the code is `none` when it succeeded.
  [[nodiscard]] const store_failure& LastFailure() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

static_assert(object_store<http_object_store>);

} // namespace persimmon::platform
