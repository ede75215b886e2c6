#pragma once

#include "upstream/calloutcome.h"
#include "upstream/responsehead.h"

#include <functional>
#include <string_view>

namespace persimmon::upstream {

/// Callbacks of a call. They run on the loop's thread in this order: onConnected when a new
/// connection is established, not for one that was kept from an earlier call, mayBeSent right
/// before the request's first byte is sent, onHead at most once, onData any number of times, onDone
/// once; a call that fails before its response head skips onHead. When mayBeSent returns false,
/// nothing is sent, and the call ends as such. None runs after the call is cancelled, see
/// upstream_loop::Cancel(). onConnected and mayBeSent may be empty.
struct call_handlers
{
  std::function<void(const response_head&)> onHead;
  std::function<void(std::string_view)> onData;
  std::function<void(const call_outcome&)> onDone;
  std::function<void()> onConnected{};
  std::function<bool()> mayBeSent{};
};

} // namespace persimmon::upstream
