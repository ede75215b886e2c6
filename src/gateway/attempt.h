#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/eventframer.h"
#include "gateway/responseinfo.h"
#include "upstream/callid.h"
#include "upstream/responsehead.h"

#include <optional>
#include <string>

namespace persimmon::gateway {

/// One call to one upstream, made for an exchange.
struct attempt
{
  instance_id upstream;
  upstream::call_id call;
  time_point startedAt;
  /// Last time that bytes came.
  time_point lastReceivedAt;
  std::optional<response_info> responseInfo;
  upstream::response_head responseHead;
  /// Body of an answer that goes out whole.
  std::string responseBody;
  event_framer framer;
  /// Events of a stream have come from this upstream.
  bool hasReceivedEvent = false;
  /// Prompt tokens that still count as waiting at the upstream.
  std::uint64_t pendingPromptTokens = 0;
  duration longestEventGap;
};

} // namespace persimmon::gateway
