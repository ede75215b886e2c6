#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace persimmon::peers {

/// What a mesh core is told once.
struct mesh_options
{
  router_id self;
  /// Start of the process in milliseconds of wall-clock time; tells its lives apart.
  std::uint64_t life = 0;
  /// Where others reach this router; empty for a leaf.
  endpoint address;
  zone_name zone;
  /// A placer: it links to its seeds alone and is no member.
  bool leaf = false;
  /// Addresses from the settings.
  std::vector<endpoint> seeds;
  std::uint64_t randomSeed = 1;

  /// Links that a router opens.
  std::size_t peers = 3;
  /// Bytes that may be sent a second on all links together; bodies that a peer asked for come on
  /// top and are counted apart.
  std::int64_t bytesPerSecond = 3000;
  /// Bytes that may go out at once after a quiet time, as after a start or a partition.
  std::int64_t burstBytes = 65536;
  /// Interval of urgent frames: versions, leaving marks, suspects, members.
  duration urgentInterval{ 50 };
  /// Interval of all other frames.
  duration bulkInterval{ 200 };
  /// Interval of the summaries that keep a link alive.
  duration summaryInterval{ 1000 };
  /// A link that was silent for this long is closed and its peer suspected.
  duration linkTimeout{ 2500 };
  /// A suspect that does not refute for this long is dead.
  duration suspectPatience{ 3000 };
  /// How long a document announced by a peer may take to come by the own watch before it is asked
  /// for, while the platform answers.
  duration pullGrace{ 300 };
  /// Age of a group's newest evidence, from whichever observer, below which an observer sends
  /// nothing unless the group's state has changed.
  duration presenceInterval{ 700 };
};

} // namespace persimmon::peers
