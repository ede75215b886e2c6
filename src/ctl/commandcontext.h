#pragma once

#include <iosfwd>

namespace persimmon::ctl {

/// Output and error streams of a command.
struct command_context
{
  std::ostream& out;
  std::ostream& err;
};

} // namespace persimmon::ctl
