#pragma once

#include "loop/eventloop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <thread>

namespace persimmon::loop {

struct event_loop::implementation
{
  asio::io_context context{ 1 };
  /// Keeps the context running while it has no work.
  asio::executor_work_guard<asio::io_context::executor_type> workGuard{ context.get_executor() };
  std::thread thread;
};

} // namespace persimmon::loop
