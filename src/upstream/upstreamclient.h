#pragma once

#include "upstream/upstreamloop.h"

#include <memory>
#include <vector>

namespace persimmon::upstream {

/// The loops that share the process's calls to upstreams.
class upstream_client
{
public:
  explicit upstream_client(std::size_t aThreads);

  [[nodiscard]] std::size_t LoopCount() const;
  upstream_loop& Loop(std::size_t aIndex);

private:
  std::vector<std::unique_ptr<upstream_loop>> mLoops;
};

} // namespace persimmon::upstream
