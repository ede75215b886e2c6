#pragma once

#include <iosfwd>

namespace persimmon::ctl {

/// Where a command prints its results and its errors.
struct command_context
{
  std::ostream& out;
  std::ostream& err;
};

} // namespace persimmon::ctl
