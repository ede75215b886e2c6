#include "upstream/upstreamclient.h"

namespace persimmon::upstream {

upstream_client::upstream_client(std::size_t aThreads)
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    mLoops.push_back(std::make_unique<upstream_loop>());
  }
}

upstream_client::upstream_client(const std::vector<loop::event_loop*>& aLoops)
{
  for (loop::event_loop* eventLoop : aLoops) {
    mLoops.push_back(std::make_unique<upstream_loop>(*eventLoop));
  }
}

std::size_t
upstream_client::LoopCount() const
{
  return mLoops.size();
}

upstream_loop&
upstream_client::Loop(std::size_t aIndex)
{
  return *mLoops[aIndex % mLoops.size()];
}

} // namespace persimmon::upstream
