#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace persimmon::peers {

/// How far a process knows the documents whose versions are revisions of the store: it holds every
/// change up to a revision, which was the store's latest at a time.
struct store_position
{
  revision upTo;
  /// Time on this process's clock at which nothing later was in the store.
  time_point asOf;
};

/// A position as it is told to a peer.
struct told_position
{
  store_position position;
  /// Every change up to the position that the peer may lack was announced to it before.
  bool isAnnounced = false;
};

} // namespace persimmon::peers
