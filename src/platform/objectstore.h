#pragma once

#include "base/clock.h"
#include "platform/storedobject.h"
#include "platform/storeerror.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::platform {

/// Interface of the platform's object store. Calls block; LastFailure() returns why the last one
/// gave no result.
template<typename T>
concept object_store = requires(T& aStore,
                                const object_key& aKey,
                                const std::string& aValue,
                                const write_condition& aCondition,
                                const std::vector<std::string>& aKinds,
                                revision aFrom,
                                duration aWait)
{
  {
    aStore.Get(aKey)
    } -> std::same_as<std::optional<stored_object>>;
  {
    aStore.List(aKey.kind)
    } -> std::same_as<std::optional<object_list>>;
  {
    aStore.Put(aKey, aValue, aCondition)
    } -> std::same_as<std::optional<revision>>;
  {
    aStore.Delete(aKey, aFrom)
    } -> std::same_as<std::optional<revision>>;
  {
    aStore.Watch(aKinds, aFrom, aWait)
    } -> std::same_as<std::optional<object_changes>>;
  {
    aStore.LastFailure()
    } -> std::convertible_to<const store_failure&>;
};

} // namespace persimmon::platform
