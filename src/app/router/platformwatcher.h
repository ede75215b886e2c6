#pragma once

#include "base/ids.h"
#include "peers/messages.h"
#include "platform/instancelist.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::router {

/// What the watcher tells, on threads of its own.
struct watcher_handlers
{
  std::function<void(const peers::mesh_message&)> onObject;
  std::function<void(const std::vector<platform::listed_instance>&)> onInstances;
  /// Tells, after each list and watch, whether the platform answered and whether all documents and
  /// tables were ever listed.
  std::function<void(bool aFresh, bool aListed)> onState;
};

/// Learns documents, domain tables and instances from the platform: lists all, then watches; lists
/// again when the watched revision was compacted, after a failure, and from time to time in case
/// the watch stalled.
class platform_watcher
{
public:
  platform_watcher(std::string aStoreUrl, watcher_handlers aHandlers);
  /// Waits for the calls under way.
  ~platform_watcher();

  /// Begins to stop without waiting.
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::router
