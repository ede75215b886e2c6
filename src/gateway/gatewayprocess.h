#pragma once

#include "base/hash.h"
#include "entry/httpserver.h"
#include "gateway/assemblyrunner.h"
#include "gateway/batchdelay.h"
#include "gateway/descriptordivision.h"
#include "gateway/evacuationfeed.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewaysettings.h"
#include "gateway/groupprober.h"
#include "gateway/incomingcallhandler.h"
#include "gateway/instancefeed.h"
#include "gateway/leasemanager.h"
#include "gateway/meshlink.h"
#include "gateway/receivedconfiguration.h"
#include "gateway/stopplan.h"
#include "gateway/storereaders.h"
#include "gateway/storewatch.h"
#include "gateway/suspicionstore.h"
#include "loop/eventloop.h"
#include "relay/relaycredentials.h"
#include "relay/relayserver.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>

namespace persimmon::gateway {

/// A running gateway: serves callers' requests and forms engine groups while it holds the assembly
/// lease. Everything except the mesh runs on one event loop.
template<gateway_dialect Dialect>
class gateway_process
{
public:
  explicit gateway_process(gateway_settings aSettings);
  ~gateway_process();

  /// Starts serving. Returns false with LastReason() when that fails.
  bool Start();
  /// Applies the reloaded settings that can change without a restart.
  void Reload(const gateway_settings& aSettings);
  /// Stops within the grace period: reports not ready, waits for requests in flight, then ends the
  /// remaining ones.
  void Stop();
  /// Reason for which Start() failed.
  [[nodiscard]] const std::string& LastReason() const { return mReason; }

private:
  using store = typename Dialect::store;

  static relay::relay_options RelayOptions(const gateway_settings& aSettings);
  static lease_timing LeaseTiming(const gateway_settings& aSettings)
  {
    lease_timing timing;
    timing.acquireDelay = AcquireDelay(aSettings.processorQuota);
    return timing;
  }
  bool StartListening();
  /// Starts to pass on bytes of gateways that are cut off, when the settings say where.
  bool StartRelay();
  [[nodiscard]] relay::relay_verdict VerdictOnTunnel(const endpoint& aUpstream) const;
  void StartWatches();
  void HandleReadinessRequest(entry::responder& aResponder);
  /// Returns whether availability zones may be emptied.
  [[nodiscard]] bool MayEmptyZones() const { return mSettings.evacuationNotice.ms > 0; }
  /// Returns whether a configuration and instances are known.
  [[nodiscard]] bool IsInformed() const;
  [[nodiscard]] bool IsReady() const;
  void ApplyConfiguration(const std::string& aText, revision aRevision, const char* aSource);
  /// Returns whether a configuration is the one in force, or an earlier one, as far as that shows
  /// without parsing it.
  [[nodiscard]] bool IsKnown(const received_configuration& aReceived) const;
  [[nodiscard]] static parsed_configuration Parse(const received_configuration& aReceived);
  /// Parses the latest large configuration beside the event loop. Of those that come meanwhile,
  /// only the latest is parsed.
  void ParseNextConfiguration();
  /// Puts a configuration in force and counts the time that it takes.
  void Activate(const received_configuration& aReceived, const parsed_configuration& aParsed);
  /// Puts a configuration in force when it is later than the present one.
  void PutInForce(const received_configuration& aReceived, const parsed_configuration& aParsed);
  /// Reads everything again when the store has come back from an older copy.
  void OnStoreEra(std::optional<platform::store_era> aFormer, platform::store_era aPresent);
  /// Returns a pause before a list. All processes notice at about the same time that they have to
  /// list, so each does it at a time of its own.
  [[nodiscard]] duration RelistPause();
  void OnInstancesChanged();
  /// Tells mCalls which upstreams and relays there are.
  void UpdatePaths();
  void OnMeshMessage(const peers::mesh_message& aMessage);
  /// The store was read up to a revision; the changes have been published.
  void OnInstancesRead(revision aUpTo);
  /// Peers have told this process of every change up to a position.
  void OnStorePosition(const peers::store_position& aPosition);
  /// Lets this process read the store itself, or rely on the readers.
  void UpdateReading();
  /// Returns whether this process must read the store itself.
  [[nodiscard]] bool MustRead(time_point aNow) const;
  void LogReading(time_point aNow) const;
  void OnPresenceMessage(const peers::presence_message& aPresence);
  /// Marks a group as broken; aPublish also reports it to the mesh and the assemblers.
  void OnGroupBroken(const fleet::engine_group& aGroup, const member_fault& aFault, bool aPublish);
  void OnEngineReport(const instance_id& aInstance, const fleet::engine_report& aReport);
  /// Returns the highest slowdown that a group's members reported, between 1 and a maximum.
  [[nodiscard]] double HighestSlowdown(const fleet::engine_group& aGroup) const;
  void OnLeaseChanged();
  /// Ends the start once the mesh has delivered what the peers know; calls that waited are handled
  /// at once.
  void UpdateStart();
  /// Records how late the fast tick is, and logs what the loop was busy with when it is very late.
  void ObserveDelay();
  /// Closes idle connections of callers when few descriptors are left for new ones.
  void MakeRoomForCallers();
  /// Closes connections of callers that have been idle for as long as the configuration allows.
  void CloseIdleCallers();
  /// Runs frequently: assembly steps and progress checks of the exchanges.
  void OnFastTick();
  /// Runs each second.
  void OnSlowTick();
  /// Updates metrics, limits, members and the batch delay, and probes broken groups again.
  void DoHousekeeping();
  /// Sets the metrics that tell a present state.
  void SetGauges(std::size_t aLiveGateways);
  void SetSlotGauges(time_point aNow);
  /// Ends the mark of a group; aFoundBy says who has asked its members.
  void OnGroupRecovered(const fleet::engine_group& aGroup, const std::string& aFoundBy);
  /// Tells the other gateways the load of each model, if this one asks the groups for it.
  void TellModelLoads();
  /// Lets waiting calls select again, the most urgent first.
  void OnSlotFreed();
  /// Releases the lease once no order of this process is under way.
  void ReleaseLease();
  /// Waits for the exchanges in progress until the plan's end, then ends the remaining ones.
  void Drain(const stop_plan& aPlan);
  static void Sleep(duration aTime)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aTime.ms));
  }
  /// Runs a function on the event loop and returns its result.
  template<typename Function>
  auto RunOnLoop(Function aFunction);

  gateway_settings mSettings;
  std::string mReason;
  metrics_registry mMetrics;
  loop::event_loop mLoop;
  upstream::upstream_loop mUpstreamLoop{ mLoop };
  dispatch::upstream_selector mUpstreams{ mSettings.zone, mSettings.id };
  upstream_caller mCalls{ mUpstreamLoop,
                          mMetrics,
                          mSettings.zone,
                          relay::RelayCredentials(mSettings.meshKey),
                          EntropySeed() };
  relay::relay_server mRelay{ mLoop, RelayOptions(mSettings) };
  crash_monitor mCrashes{ mCalls, mUpstreams, mMetrics };
  statement_monitor mStatements{ mUpstreams, mMetrics };
  gateway_context mContext{ mUpstreamLoop,
                            mCalls,
                            mUpstreams,
                            mMetrics,
                            mCrashes,
                            mStatements,
                            random_source(EntropySeed()),
                            mSettings.retryLimits };
  exchange_registry mExchanges;
  incoming_call_handler<Dialect> mCallHandler{ mContext, mExchanges };
  /// Parses what is large beside mLoop.
  loop::event_loop mParser;
  store mStore{ mUpstreamLoop, mSettings.store, &mParser };
  instance_feed<Dialect> mInstances{ mStore,
                                     mUpstreamLoop,
                                     mMetrics,
                                     mUpstreams.Fleet(),
                                     LongPollTimeout(mSettings.storeSilenceTimeout) };
  evacuation_feed<Dialect> mEvacuations{ mStore,
                                         mUpstreamLoop,
                                         mMetrics,
                                         LongPollTimeout(mSettings.storeSilenceTimeout) };
  suspicion_store<store> mSuspicions{ mStore,
                                      mUpstreamLoop,
                                      mMetrics,
                                      mCrashes,
                                      mContext.random.NextDouble() };
  mesh_link mMesh{ mSettings, mLoop, mMetrics };
  group_prober<Dialect> mProber{ mContext };
  assembly_runner<Dialect> mAssembly{ mContext, mSettings.assembly };
  lease_manager<store> mLease{
    mStore,
    mUpstreamLoop,
    lease_state_machine(mSettings.id, LeaseTiming(mSettings), EntropySeed())
  };
  store_reading mReading{ mSettings.id, MaxReadAge(mSettings.leaveNotice) };
  /// Latest read of the instances by this process.
  peers::store_position mLastRead{ {}, { INT64_MIN / 2 } };
  /// What UpdateReading() last decided.
  bool mReads = true;
  /// How far the clock that counts suspensions is ahead of the other.
  duration mSuspendedFor = boot_clock().Now() - steady_clock().Now();
  std::unique_ptr<store_watch<store>> mConfigWatch;
  /// Hash of the text of the configuration in force.
  std::uint64_t mConfigurationHash = 0;
  /// Hash of the latest text that could not be put in force, so that it is told of once.
  std::optional<std::uint64_t> mRejectedHash;
  /// Large configurations that wait to be parsed.
  std::optional<received_configuration> mNextFromStore;
  std::optional<received_configuration> mNextFromPeer;
  bool mIsParsing = false;
  /// Slowdown of each instance that this process queries, from its latest report, as a factor on
  /// the expected time.
  std::unordered_map<instance_id, double> mReportedSlowdowns;
  /// Changes of instances that this process has read while it was starting, by document, without
  /// those of which a peer knew more. They are published when the start ends.
  std::map<service_name, peers::document_message> mUnpublished;
  /// When the mesh ended its start; nothing before it.
  std::optional<time_point> mMeshStartedAt;
  descriptor_division mDescriptors = DivideDescriptors(mSettings.maxDescriptors);
  /// True while no descriptor is left for another caller.
  bool mTakesNobody = false;
  time_point mLoadsToldAt{ INT64_MIN / 2 };
  /// Waiting calls select again in the next turn of the loop.
  bool mWillAskWaitingCalls = false;
  /// Readiness that was last logged.
  bool mReportedReady = false;
  entry::http_server mServer;
};

} // namespace persimmon::gateway

#include "gateway/internal/gatewayprocessimpl.h"
#include "gateway/internal/gatewayprocessreading.h"
#include "gateway/internal/gatewayprocessstate.h"
