#pragma once

#include "base/clock.h"
#include "loop/eventloop.h"
#include "upstream/callhandlers.h"
#include "upstream/callid.h"
#include "upstream/timerid.h"
#include "upstream/upstreamcall.h"

#include <functional>
#include <memory>

namespace persimmon::upstream {

/// Executes concurrent HTTP calls with libcurl's multi interface on an event loop. All functions
/// are thread-safe; all handlers run on the loop's thread. Redirects are not followed, and proxies
/// are not used but for the tunnels that calls name.
class upstream_loop
{
public:
  /// Creates its own event loop.
  upstream_loop();
  /// Uses an external event loop, which must be stopped before the upstream loop is destroyed.
  explicit upstream_loop(loop::event_loop& aLoop);
  /// Aborts all calls without running their handlers.
  ~upstream_loop();
  upstream_loop(const upstream_loop&) = delete;
  upstream_loop& operator=(const upstream_loop&) = delete;

  /// Sets a function that returns the address at which this process reaches an upstream, where it
  /// differs from the one that calls name. To be set before the first call.
  void SetAddressTranslation(std::function<endpoint(const endpoint&)> aTranslation);
  /// Starts a call and returns its id.
  call_id Start(upstream_call aCall, call_handlers aHandlers);
  /// Aborts the call and closes its connection. When called on the loop's thread, no handler of the
  /// call runs any more; otherwise none runs after the loop has processed the cancellation.
  void Cancel(call_id aCall);
  /// Stops reading the response, which applies back-pressure to the upstream. When called from a
  /// handler of the call, it takes effect before the next onData.
  void Pause(call_id aCall);
  /// Continues to read the response of a paused call.
  void Resume(call_id aCall);
  /// Queues a function to run on the loop's thread; it never runs before Post() returns to a caller
  /// on that thread.
  void Post(std::function<void()> aFunction);
  /// Runs a function on the loop's thread after a delay. Returns the timer's id.
  timer_id After(duration aDelay, std::function<void()> aFunction);
  /// Cancels a timer; no effect when it has already fired.
  void CancelTimer(timer_id aTimer);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::upstream
