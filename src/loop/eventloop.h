#pragma once

#include <functional>
#include <memory>

namespace persimmon::loop {

/// One thread that runs an asio context. Servers and clients that share a loop hand bytes to each
/// other without a change of thread.
class event_loop
{
public:
  event_loop();
  /// Stops.
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs a function on the loop's thread, never within the call itself; from any thread.
  void Post(std::function<void()> aFunction);
  /// True on the loop's thread.
  [[nodiscard]] bool IsInLoopThread() const;
  /// Ends the thread. What uses the loop may be destroyed only afterwards.
  void Stop();

  /// For modules that build on asio.
  struct implementation;
  implementation& Implementation() { return *mImplementation; }

private:
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::loop
