#pragma once

#include "upstream/upstreamloop.h"

#include <memory>
#include <vector>

namespace persimmon::upstream {

/// The loops that share the process's calls to upstreams.
class upstream_client
{
public:
  /// Makes event loops of its own.
  explicit upstream_client(std::size_t aThreads);
  /// Shares event loops, which must have been stopped before this is destroyed.
  explicit upstream_client(const std::vector<loop::event_loop*>& aLoops);

  [[nodiscard]] std::size_t LoopCount() const;
  upstream_loop& Loop(std::size_t aIndex);

private:
  std::vector<std::unique_ptr<upstream_loop>> mLoops;
};

} // namespace persimmon::upstream
