#pragma once

#include "loop/eventloop.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace persimmon::router {

/// The event loops that carry requests. A request stays on the loop of its caller's connection.
class request_loops
{
public:
  explicit request_loops(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      mLoops.push_back(std::make_unique<loop::event_loop>());
    }
  }

  [[nodiscard]] std::vector<loop::event_loop*> Pointers() const
  {
    std::vector<loop::event_loop*> pointers;
    for (const auto& one : mLoops) {
      pointers.push_back(one.get());
    }
    return pointers;
  }

  void Stop()
  {
    for (const auto& one : mLoops) {
      one->Stop();
    }
  }

private:
  std::vector<std::unique_ptr<loop::event_loop>> mLoops;
};

} // namespace persimmon::router
