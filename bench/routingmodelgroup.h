#pragma once

#include "routingmodeloptions.h"

#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace persimmon::bench {

/// One group of the model: a batch with a queue, and the prompt prefixes it has kept.
struct model_group
{
  std::vector<std::size_t> running;
  std::deque<std::size_t> queue;
  /// Most recent first.
  std::list<std::uint64_t> prefixes;
  double slowness = 1;
  double failing = 0;
  bool dark = false;

  /// Notes the use of a prefix; true when it was kept.
  bool UsePrefix(std::uint64_t aPrefix, std::size_t aKept)
  {
    bool hit = false;
    for (auto current = prefixes.begin(); current != prefixes.end(); ++current) {
      if (*current == aPrefix) {
        prefixes.erase(current);
        hit = true;
        break;
      }
    }
    prefixes.push_front(aPrefix);
    if (prefixes.size() > aKept) {
      prefixes.pop_back();
    }
    return hit;
  }
};

} // namespace persimmon::bench
