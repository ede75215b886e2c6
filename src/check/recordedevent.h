#pragma once

#include "history/event.h"

#include <cstddef>
#include <string>

namespace persimmon::check {

/// An event with the place where it was read.
struct recorded_event
{
  history::event event;
  std::string file;
  std::size_t line = 0;
};

} // namespace persimmon::check
