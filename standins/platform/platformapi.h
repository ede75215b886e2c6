#pragma once

#include "base/clock.h"
#include "entry/serverrequest.h"
#include "platform/storedobject.h"
#include "standins/platform/objecttable.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::standins {

/// What a watch asked for.
struct watch_query
{
  std::vector<std::string> kinds;
  revision from;
  duration wait;
};

/// Parses `/objects/{kind}/{name}`; the name is empty for a list and may contain slashes.
std::optional<platform::object_key>
ParseObjectPath(const std::string& aPath);

/// Parses an entity tag `"N"`.
std::optional<revision>
ParseEntityTag(const std::string& aTag);

/// Returns the condition of a write; nothing when the request has none or a malformed one.
std::optional<platform::write_condition>
ParseCondition(const entry::server_request& aRequest);

/// Parses the query of a watch.
std::optional<watch_query>
ParseWatch(const entry::server_request& aRequest);

/// Returns the bytes that a call for weights asks for.
std::optional<std::uint64_t>
ParseWeights(const std::string& aBody);

std::string
RenderObjectList(const platform::object_list& aList);

std::string
RenderChanges(const platform::object_changes& aChanges);

} // namespace persimmon::standins
