#pragma once

#include "upstream/upstreamloop.h"

#include <future>
#include <memory>
#include <string>

namespace persimmon::upstream {

/// What the handlers of a call received.
struct recorded_call
{
  response_head head;
  std::string body;
  call_outcome outcome;
};

/// Runs a call, waits for its end and returns what its handlers received.
inline recorded_call
Run(upstream_loop& aLoop, upstream_call aCall)
{
  recorded_call recorded;
  // The handler keeps the promise, which wakes this thread before set_value() has returned.
  const auto done = std::make_shared<std::promise<void>>();
  aLoop.Start(std::move(aCall),
              { [&recorded](const response_head& aHead) { recorded.head = aHead; },
                [&recorded](std::string_view aData) { recorded.body += aData; },
                [&recorded, done](const call_outcome& aOutcome) {
                  recorded.outcome = aOutcome;
                  done->set_value();
                } });
  done->get_future().wait();
  return recorded;
}

inline upstream_call
CallTo(const endpoint& aAddress, bool aFresh)
{
  upstream_call call;
  call.address = aAddress;
  call.method = "POST";
  call.body = "{}";
  call.freshConnection = aFresh;
  return call;
}

} // namespace persimmon::upstream
