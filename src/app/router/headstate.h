#pragma once

#include "base/ids.h"
#include "peers/messages.h"
#include "placement/domaintable.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmon::router {

/// Compares what a group's head says at /state with the group's table entry. An empty result means
/// that the answer could not be understood, with aProblem telling why.
std::optional<peers::presence_message>
ObserveGroup(const placement::group& aGroup,
             std::string_view aState,
             const router_id& aObserver,
             std::string& aProblem);

} // namespace persimmon::router
