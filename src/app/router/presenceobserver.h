#pragma once

#include "app/router/clusterboard.h"
#include "upstream/upstreamloop.h"

#include <functional>
#include <memory>

namespace persimmon::router {

/// Polls the heads of groups for their state and takes what it sees to the board.
class presence_observer
{
public:
  /// Told of each observation, for other routers.
  using observation_sink = std::function<void(const peers::presence_message&)>;
  /// Says whether this router is to observe a group.
  using group_filter = std::function<bool(const placement::group&)>;

  presence_observer(router_id aSelf,
                    cluster_board& aBoard,
                    group_filter aFilter,
                    observation_sink aSink);

  /// Starts to poll.
  void Start();

private:
  void PollAll();
  void Poll(const placement::group& aGroup);
  void Observed(const placement::group& aGroup, const std::string& aState);

  router_id mSelf;
  cluster_board& mBoard;
  group_filter mFilter;
  observation_sink mSink;
  /// Last, so that it stops before what its handlers use goes.
  upstream::upstream_loop mLoop;
};

} // namespace persimmon::router
