#pragma once

namespace persimmon::ctl {

/// Exit codes of persimmonctl; scripts may rely on them.
enum ctl_exit : int
{
  done = 0,
  /// The platform or a router could not be reached, or answered with an error.
  failed = 1,
  /// The command line or a document is wrong; nothing was sent.
  usage = 2,
  /// The platform holds another version than the one last read; nothing was changed.
  conflict = 3,
  /// The change was accepted but is not yet in force on every router.
  lagging = 4,
  /// It could not be found out whether the change was accepted.
  unknown = 5
};

} // namespace persimmon::ctl
