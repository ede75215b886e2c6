#pragma once

namespace persimmon::ctl {

/// Exit codes of persimmonctl. Scripts may depend on them, so the values are stable.
enum ctl_exit : int
{
  done = 0,
  /// The platform or a router could not be reached, or returned an error.
  failed = 1,
  /// The command line or a document is invalid; nothing was sent.
  usage = 2,
  /// The platform's version differs from the version last read; nothing was changed.
  conflict = 3,
  /// The change was accepted, but not every router applies it yet.
  lagging = 4,
  /// It could not be determined whether the change was accepted.
  unknown = 5
};

} // namespace persimmon::ctl
