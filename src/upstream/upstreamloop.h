#pragma once

#include "base/clock.h"
#include "upstream/callhandlers.h"
#include "upstream/callid.h"
#include "upstream/timerid.h"
#include "upstream/upstreamcall.h"

#include <functional>
#include <memory>

namespace persimmon::upstream {

/// One thread with an event loop of its own that carries many calls over libcurl's multi
/// interface. Every function may be called from any thread; all handlers run on the loop's thread.
/// Redirects are not followed and proxies not used.
class upstream_loop
{
public:
  upstream_loop();
  /// Drops all calls without a word to their owners and stops the thread.
  ~upstream_loop();
  upstream_loop(const upstream_loop&) = delete;
  upstream_loop& operator=(const upstream_loop&) = delete;

  call_id Start(upstream_call aCall, call_handlers aHandlers);
  /// Closes the call's connection; its handlers are not called again.
  void Cancel(call_id aCall);
  /// Stops reading the response, so that the upstream feels the back-pressure. Called from one of
  /// the call's handlers, it takes effect before the next data.
  void Pause(call_id aCall);
  void Resume(call_id aCall);
  /// Runs a function on the loop's thread, never within the call itself.
  void Post(std::function<void()> aFunction);
  /// Runs a function on the loop's thread after a time.
  timer_id After(duration aDelay, std::function<void()> aFunction);
  /// Forgets a timer that has not run yet.
  void CancelTimer(timer_id aTimer);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::upstream
