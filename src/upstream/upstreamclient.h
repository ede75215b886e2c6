#pragma once

#include "upstream/upstreamloop.h"

#include <memory>
#include <vector>

namespace persimmon::upstream {

/// Set of upstream loops among which the calls of a process are distributed.
class upstream_client
{
public:
  /// Creates aThreads event loops, each with its own thread.
  explicit upstream_client(std::size_t aThreads);
  /// Uses external event loops, which must be stopped before the client is destroyed.
  explicit upstream_client(const std::vector<loop::event_loop*>& aLoops);

  [[nodiscard]] std::size_t LoopCount() const;
  /// Returns the loop with this index modulo LoopCount().
  upstream_loop& Loop(std::size_t aIndex);

private:
  std::vector<std::unique_ptr<upstream_loop>> mLoops;
};

} // namespace persimmon::upstream
