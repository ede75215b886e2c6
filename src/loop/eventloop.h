#pragma once

#include <functional>
#include <memory>

namespace persimmon::loop {

/// A thread that runs an asio io_context. Servers and clients that share a loop pass bytes to each
/// other without switching threads.
class event_loop
{
public:
  /// Starts the thread.
  event_loop();
  /// Calls Stop().
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Queues a function to run on the loop's thread; never runs it before returning. May be called
  /// from any thread.
  void Post(std::function<void()> aFunction);
  /// Returns whether the caller runs on the loop's thread.
  [[nodiscard]] bool IsInLoopThread() const;
  /// Ends the thread and waits for it; queued functions that have not run are not run. Objects that
  /// use the loop may be destroyed only afterwards.
  void Stop();

  /// Gives modules that use asio access to the io_context.
  struct implementation;
  implementation& Implementation() { return *mImplementation; }

private:
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::loop
