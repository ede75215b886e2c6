#pragma once

#include "app/router/serviceshard.h"
#include "base/clock.h"
#include "history/historywriter.h"
#include "peers/messages.h"
#include "routing/clusterview.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace persimmon::router {

/// Carries out what an admission decided about a request, on any thread.
using admission_sink = std::function<void(const std::vector<routing::admission_action>&)>;

/// The router's knowledge of documents, tables, instances and observations under one lock, and the
/// service shards that it keeps up to date. Every function may be called from any thread.
class cluster_board
{
public:
  cluster_board(router_id aSelf,
                zone_name aZone,
                history::history_writer& aHistory,
                admission_sink aSink);

  /// Takes in a fact; true when it was news.
  bool Apply(const peers::mesh_message& aMessage, time_point aNow);
  void Apply(const std::vector<platform::listed_instance>& aList, time_point aNow);
  /// Brings loads into force and lets admission and health see the time; call ten times a second.
  void Tick(time_point aNow);

  /// Returns a service's shard; null when the router knows nothing of that name.
  std::shared_ptr<service_shard> Service(const service_name& aName) const;
  [[nodiscard]] std::vector<std::shared_ptr<service_shard>> Services() const;
  [[nodiscard]] std::vector<placement::group> Groups() const;
  [[nodiscard]] std::vector<peers::leaving_message> Leaving() const;
  [[nodiscard]] std::vector<peers::applied_message> Applied() const;
  /// True until the first document has come.
  [[nodiscard]] bool Empty() const;

private:
  using view_change = routing::view_change;

  /// Puts new views in force; nothing when no view is new.
  void Publish(time_point aNow);
  std::shared_ptr<service_shard> ShardFor(const service_name& aName, time_point aNow);
  void RecordApplied(const peers::mesh_message& aMessage);
  void LogMalformed(const peers::mesh_message& aMessage);

  router_id mSelf;
  zone_name mZone;
  history::history_writer& mHistory;
  admission_sink mSink;
  /// Held while views are taken and put in force, so that they come into force in order.
  mutable std::mutex mViewMutex;
  routing::cluster_view mView;
  mutable std::mutex mServicesMutex;
  std::map<service_name, std::shared_ptr<service_shard>> mServices;
};

} // namespace persimmon::router
