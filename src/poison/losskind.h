#pragma once

namespace persimmon::poison {

/// How an attempt ended without a complete response.
enum class loss_kind
{
  /// The upstream ended the connection, or sent what is no valid response. Counts at once: not
  /// every crash can be proved.
  broken_off,
  /// The caller's time ended, or the caller left, without a response. Counts at once, and more once
  /// a crash is proved.
  unanswered,
  /// The same, and the upstream's registration has lapsed although it announced no departure.
  /// Counts at once as a crash that is proved: the upstream has fallen silent for everybody.
  unanswered_lapsed,
  /// The upstream stands still, and worked after the attempt was sent. Counts once a crash is
  /// proved.
  stalled,
  /// The upstream stands still, perhaps since before the attempt was sent. Counts once a crash is
  /// proved, and less.
  perhaps_stalled_before
};

} // namespace persimmon::poison
