#pragma once

#include "upstream/calloutcome.h"
#include "upstream/responsehead.h"

#include <functional>
#include <string_view>

namespace persimmon::upstream {

/// What a call tells its owner, on the loop's thread and in this order: the head once, data any
/// number of times, the end once. A cancelled call tells nothing more.
struct call_handlers
{
  std::function<void(const response_head&)> onHead;
  std::function<void(std::string_view)> onData;
  std::function<void(const call_outcome&)> onDone;
};

} // namespace persimmon::upstream
