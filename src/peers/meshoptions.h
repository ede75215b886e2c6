#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::peers {

/// Constant parameters of a mesh_core.
struct mesh_options
{
  router_id self;
  /// Start of the process in milliseconds of wall-clock time; distinguishes it from earlier
  /// processes of the same router.
  std::uint64_t startedAtMs = 0;
  /// Address at which other processes reach this router; empty for a leaf.
  endpoint address;
  zone_name zone;
  /// Address at which this router passes bytes on to upstreams; empty when it does not.
  endpoint relay{};
  /// Part of a processor that this process may use, in percent; 0 when it is not known.
  std::uint32_t processorPercent = 0;
  /// True for a placer, which links only to its seeds and is not a member.
  bool leaf = false;
  /// Addresses of routers from the settings.
  std::vector<endpoint> seeds;
  std::uint64_t randomSeed = 1;
  /// Prefix of the names of the documents whose versions are revisions of the store; empty when
  /// there are none.
  std::string revisionedPrefix{};

  /// Number of peers that a router links to.
  std::size_t peerCount = 3;
  /// Bytes per second that may be sent over all links together. Requested bodies of documents and
  /// tables are counted separately and not limited.
  std::int64_t bytesPerSecond = 3000;
  /// Bytes that may be sent at once after an idle period, such as after a start or a partition.
  std::int64_t burstBytes = 180000;
  /// Bytes beyond the budget that are paid back; what must be sent at once, such as the state for a
  /// peer that starts, may be more.
  std::int64_t maxDebtBytes = 30000;
  /// Interval of urgent frames: versions, leaving instances, suspect requests and members.
  duration urgentInterval{ 50 };
  /// Interval of all other frames.
  duration bulkInterval{ 200 };
  /// Interval of the summaries that keep a link alive.
  duration summaryInterval{ 1000 };
  /// Time without a received frame after which a link is closed and its peer suspected.
  duration linkTimeout{ 2500 };
  /// Time without a refutation after which a suspect is declared dead.
  duration suspectTimeout{ 3000 };
  /// Time that this process's own watch has to deliver an announced version before the version is
  /// requested from a peer; applies while the watch delivers changes.
  duration pullDelay{ 300 };
  /// Minimum age of a group's newest presence message from any observer before an observer
  /// publishes another with an unchanged state.
  duration presenceInterval{ 700 };
};

} // namespace persimmon::peers
