#pragma once

#include "upstream/calloutcome.h"
#include "upstream/responsehead.h"

#include <functional>
#include <string_view>

namespace persimmon::upstream {

/// Callbacks of a call. They run on the loop's thread in this order: onConnected when the request
/// is about to be sent, onHead at most once, onData any number of times, onDone once; a call that
/// fails before its response head skips onHead. None runs after the call is cancelled, see
/// upstream_loop::Cancel(). onConnected may be empty.
struct call_handlers
{
  std::function<void(const response_head&)> onHead;
  std::function<void(std::string_view)> onData;
  std::function<void(const call_outcome&)> onDone;
  std::function<void()> onConnected{};
};

} // namespace persimmon::upstream
