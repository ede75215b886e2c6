#include "loop/internal/eventloopimplementation.h"

#include <asio/post.hpp>

namespace persimmon::loop {

event_loop::event_loop()
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->thread = std::thread([state = mImplementation.get()] { state->context.run(); });
}

event_loop::~event_loop()
{
  Stop();
}

void
event_loop::Post(std::function<void()> aFunction)
{
  asio::post(mImplementation->context, std::move(aFunction));
}

bool
event_loop::IsInLoopThread() const
{
  return mImplementation->thread.get_id() == std::this_thread::get_id();
}

void
event_loop::Stop()
{
  mImplementation->workGuard.reset();
  mImplementation->context.stop();
  if (mImplementation->thread.joinable()) {
    mImplementation->thread.join();
  }
}

} // namespace persimmon::loop
