#pragma once

#include "entry/httpserver.h"
#include "gateway/assemblyrunner.h"
#include "gateway/batchdelay.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewaysettings.h"
#include "gateway/groupprober.h"
#include "gateway/incomingcallhandler.h"
#include "gateway/instancefeed.h"
#include "gateway/leasemanager.h"
#include "gateway/meshlink.h"
#include "gateway/storewatch.h"
#include "loop/eventloop.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>

namespace persimmon::gateway {

/// A running gateway: callers' requests, the groups' formation while it holds the lease, and what
/// both believe. Everything but the mesh runs on one loop.
template<gateway_dialect Dialect>
class gateway_process
{
public:
  explicit gateway_process(gateway_settings aSettings);
  ~gateway_process();

  /// Starts to serve; false with LastReason() when that failed.
  bool Start();
  /// Takes settings that were read again, as far as they can change while it runs.
  void Reload(const gateway_settings& aSettings);
  /// Not ready first, then requests in flight finish, then the end within the grace time.
  void Stop();
  [[nodiscard]] const std::string& LastReason() const { return mReason; }

private:
  using store = typename Dialect::store;

  bool StartListening();
  void StartWatches();
  void HandleReadinessRequest(entry::responder& aResponder);
  [[nodiscard]] bool IsReady() const;
  void ApplyConfiguration(const std::string& aText, revision aRevision, const char* aSource);
  void OnInstancesChanged();
  void OnMeshMessage(const peers::mesh_message& aMessage);
  void OnPresenceMessage(const peers::presence_message& aPresence);
  void OnGroupBroken(const fleet::engine_group& aGroup, const std::string& aCause, bool aPublish);
  void OnEngineReport(const instance_id& aInstance, const fleet::engine_report& aReport);
  [[nodiscard]] double SlowestPace(const fleet::engine_group& aGroup) const;
  void OnLeaseChanged();
  void OnFastTick();
  void OnSlowTick();
  void Drain();
  /// Runs a function on the loop and waits for it.
  template<typename Function>
  auto RunOnLoop(Function aFunction);

  gateway_settings mSettings;
  std::string mReason;
  metrics_registry mMetrics;
  loop::event_loop mLoop;
  upstream::upstream_loop mUpstreamLoop{ mLoop };
  dispatch::upstream_board mBoard{ mSettings.zone };
  gateway_context mContext{ mUpstreamLoop,
                            mBoard,
                            mMetrics,
                            random_source(EntropySeed()),
                            mSettings.repeatLimits };
  exchange_registry mExchanges;
  incoming_call_handler<Dialect> mCallHandler{ mContext, mExchanges };
  store mStore{ mUpstreamLoop, mSettings.store };
  instance_feed<Dialect> mInstances{ mStore,
                                     mUpstreamLoop,
                                     mMetrics,
                                     mBoard.Fleet(),
                                     LongPollTimeout(mSettings.storeSilenceTimeout) };
  mesh_link mMesh{ mSettings, mLoop, mMetrics };
  group_prober<Dialect> mProber{ mContext };
  assembly_runner<Dialect> mAssembly{ mContext, mSettings.assembly };
  lease_manager<store> mLease{ mStore,
                               mUpstreamLoop,
                               lease_state_machine(mSettings.id, lease_timing{}, EntropySeed()) };
  std::unique_ptr<store_watch<store>> mConfigWatch;
  revision mConfigRevision;
  /// Paces that instances told, while this process asks them.
  std::unordered_map<instance_id, double> mReportedPaces;
  bool mReportedReady = false;
  entry::http_server mServer;
};

} // namespace persimmon::gateway

#include "gateway/internal/gatewayprocessimpl.h"
