#pragma once

// Definitions of the class template in gateway/gatewayprocess.h: start, requests, ticks and stop.

namespace persimmon::gateway {
namespace process_limits {

constexpr duration kSlowTickInterval = 1_s;
constexpr duration kDrainPollInterval = 20_ms;
/// Longest time that the lease is kept for the outcomes of orders, which have a timeout of 0.6 s.
constexpr duration kMaxOrderTime = 700_ms;
/// Longest wait for the configuration and the instances at a start when no peer has told them.
constexpr duration kMaxWaitForFirstLists = 100_ms;
/// How many times the configured time a head may take: links hold bytes up for a while.
constexpr std::int64_t kHeadTimeFactor = 2;
/// Time for responses that were handed to connections to be sent.
constexpr duration kFinalFlushTime = 150_ms;
/// Part of the process's memory for the bodies of requests: each takes up to twice its size while
/// it is read.
constexpr std::uint64_t kBodyMemoryDivisor = 4;
/// Largest body that the server reads, in bytes. A body between the configured limit and this one
/// is refused with a reason.
constexpr std::size_t kMaxReadBodyBytes = 32U << 20U;

} // namespace process_limits

template<gateway_dialect Dialect>
gateway_process<Dialect>::gateway_process(gateway_settings aSettings)
  : mSettings(std::move(aSettings))
  , mServer([this] {
    entry::server_options options;
    options.loops = { &mLoop };
    options.maxBodyBytes = process_limits::kMaxReadBodyBytes;
    return options;
  }())
{
  if (mSettings.addressTranslation) {
    mUpstreamLoop.SetAddressTranslation(mSettings.addressTranslation);
  }
  if (mSettings.meshListen.Empty()) {
    mUpstreams.Conditions().Limits().Routers().SetAlone();
  }
  mContext.sharesSlots = mSettings.sharesSlots;
  mContext.onSlotFreed = [this] { OnSlotFreed(); };
  mContext.onUpstreamStalled = [this](const instance_id& aHead) { mProber.ProbeGroupOf(aHead); };
  mProber.onBroken = [this](const fleet::engine_group& aGroup, const member_fault& aFault) {
    OnGroupBroken(aGroup, aFault, true);
  };
  mProber.onSuspected = [this](const fleet::engine_group& aGroup) {
    mAssembly.SuspectGroup(aGroup.id, aGroup.epoch);
  };
  mProber.onRecovered = [this](const fleet::engine_group& aGroup) {
    OnGroupRecovered(aGroup, "here");
    peers::presence_message recovery;
    recovery.group = aGroup.id;
    recovery.version = aGroup.epoch;
    recovery.observer = mSettings.id;
    recovery.complete = true;
    recovery.isRecovery = true;
    mMesh.Publish(recovery);
  };
  mAssembly.mayGiveOrders = [this] { return mLease.IsHolder(); };
  mAssembly.onReport = [this](const instance_id& aInstance, const fleet::engine_report& aReport) {
    OnEngineReport(aInstance, aReport);
  };
  mLease.onChange = [this] { OnLeaseChanged(); };
  mStore.SetEraHandler([this](std::optional<platform::store_era> aFormer,
                              platform::store_era aPresent) { OnStoreEra(aFormer, aPresent); });
  mInstances.onNewChange = [this](const peers::document_message& aChange) {
    // What a process has read at its start may be from an older copy, and would replace in the mesh
    // what the peers know.
    if (mContext.starting) {
      mUnpublished.insert_or_assign(aChange.service, aChange);
    } else {
      mMesh.Publish(aChange);
    }
  };
  mInstances.onRead = [this](revision aUpTo) { OnInstancesRead(aUpTo); };
  mMesh.SetPositionHandler(
    [this](const peers::store_position& aPosition) { OnStorePosition(aPosition); });
  mCrashes.onChange = [this](const poison::suspicion_changes& aChanges, bool aObservedHere) {
    aChanges.ForEachMessage([this](const auto& aMessage) { mMesh.Publish(aMessage); });
    mSuspicions.Update(aObservedHere);
  };
  mStatements.onStatement = [this](const peers::mesh_message& aMessage) {
    mMesh.Publish(aMessage);
  };
  mStatements.onLeaving = [this] {
    // Not at once: a response of an exchange may be the cause, which this call would change.
    mUpstreamLoop.Post([this] { OnInstancesChanged(); });
  };
  mCalls.onCutOffChanged = [this] {
    // Not at once: a handler of an exchange's call may be the cause.
    mUpstreamLoop.Post([this] { OnInstancesChanged(); });
  };
  mEvacuations.onNewChange = [this](const peers::document_message& aChange) {
    mMesh.Publish(aChange);
  };
  mEvacuations.onChange = [this](std::set<zone_name> aZones) {
    mAssembly.SetEmptiedZones(aZones);
    mUpstreams.SetEmptiedZones(std::move(aZones));
    OnInstancesChanged();
  };
  mMesh.SetStartHandler([this] {
    mMeshStartedAt = mContext.Now();
    UpdateStart();
  });
  mMesh.SetHandler([this](const peers::mesh_message& aMessage, const router_id&) {
    mContext.Measured(loop_work::mesh, [&] { OnMeshMessage(aMessage); });
  });
}

template<gateway_dialect Dialect>
gateway_process<Dialect>::~gateway_process()
{
  mMesh.Stop();
  mParser.Stop();
  mLoop.Stop();
}

template<gateway_dialect Dialect>
template<typename Function>
auto
gateway_process<Dialect>::RunOnLoop(Function aFunction)
{
  std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
  auto result = task.get_future();
  mLoop.Post([&task] { task(); });
  return result.get();
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::StartListening()
{
  const auto listen = [this](const endpoint& aAddress, entry::request_handler aHandler) {
    if (mServer.Listen(aAddress, std::move(aHandler))) {
      return true;
    }
    mReason = aAddress.value + ": " + mServer.LastReason();
    return false;
  };
  const auto onCall = [this](entry::server_request aRequest, const auto& aResponder) {
    mContext.Measured(loop_work::calls,
                      [&] { mCallHandler.Handle(std::move(aRequest), aResponder); });
  };
  const auto onReadiness = [this](const entry::server_request&, const auto& aResponder) {
    HandleReadinessRequest(*aResponder);
  };
  const auto onMetrics = [this](const entry::server_request&, const auto& aResponder) {
    aResponder->Send({ kStatusOk, { { "Content-Type", "text/plain" } }, mMetrics.Render() });
  };
  mServer.SetMaxConnections(mDescriptors.callers);
  mServer.SetBodyMemory(mSettings.memoryBytes / process_limits::kBodyMemoryDivisor);
  return listen(mSettings.readinessListen, onReadiness) && listen(mSettings.listen, onCall) &&
         (mSettings.metricsListen.Empty() || listen(mSettings.metricsListen, onMetrics));
}

template<gateway_dialect Dialect>
relay::relay_options
gateway_process<Dialect>::RelayOptions(const gateway_settings& aSettings)
{
  relay::relay_options options;
  options.listen = aSettings.relayListen;
  options.credentials = relay::RelayCredentials(aSettings.meshKey);
  options.maxTunnels =
    std::min(options.maxTunnels, DivideDescriptors(aSettings.maxDescriptors).tunnels);
  return options;
}

template<gateway_dialect Dialect>
relay::relay_verdict
gateway_process<Dialect>::VerdictOnTunnel(const endpoint& aUpstream) const
{
  if (mContext.stopping || !mCalls.MayRelay()) {
    return relay::relay_verdict::unavailable;
  }
  const bool hasPath = mCalls.IsUpstream(aUpstream) && !mCalls.DirectLostAt(aUpstream);
  return hasPath ? relay::relay_verdict::accepted : relay::relay_verdict::no_path;
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::StartRelay()
{
  if (mSettings.relayListen.Empty()) {
    return true;
  }
  mRelay.onRequest = [this](const endpoint& aUpstream) { return VerdictOnTunnel(aUpstream); };
  mRelay.onConnected = [this](const endpoint& aUpstream) { mCalls.OnDirectConnected(aUpstream); };
  mRelay.addressTranslation = mSettings.addressTranslation;
  if (RunOnLoop([this] { return mRelay.Start(); })) {
    return true;
  }
  mReason = mRelay.LastReason();
  return false;
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::Start()
{
  if (!StartListening() || !StartRelay()) {
    return false;
  }
  if (!mMesh.Start()) {
    mReason = mMesh.LastReason();
    return false;
  }
  mLoop.Post([this] {
    StartWatches();
    mLease.Start();
    OnFastTick();
    OnSlowTick();
  });
  WriteLog(kGatewayStarted,
           { { "id", mSettings.id.value },
             { "zone", mSettings.zone.value },
             { "listen", mSettings.listen.value },
             { "store", mSettings.store.value } });
  return true;
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::StartWatches()
{
  watch_handlers onConfig;
  onConfig.onList = [this](const platform::object_list& aList) {
    for (const platform::stored_object& object : aList.objects) {
      if (object.key.name == Dialect::kConfigurationName) {
        ApplyConfiguration(object.value, object.version, received_configuration::kFromStore);
      }
    }
  };
  onConfig.onChanges = [this](const platform::object_changes& aChanges) {
    for (const platform::object_change& object : aChanges.changes) {
      if (object.key.name == Dialect::kConfigurationName && !object.deleted) {
        ApplyConfiguration(object.value, object.version, received_configuration::kFromStore);
      }
    }
  };
  onConfig.onAvailability = [this](bool aAvailable) {
    mMesh.SetStoreState(aAvailable, mUpstreams.Routes() != nullptr);
  };
  watch_options configOptions;
  configOptions.batchDelay = 20_ms;
  configOptions.longPollTimeout = LongPollTimeout(mSettings.storeSilenceTimeout);
  mConfigWatch = std::make_unique<store_watch<store>>(mStore,
                                                      mUpstreamLoop,
                                                      mMetrics,
                                                      Dialect::kConfigurationKind,
                                                      configOptions,
                                                      std::move(onConfig));

  mConfigWatch->SetRelistPause([this] { return RelistPause(); });
  mInstances.SetRelistPause([this] { return RelistPause(); });
  mEvacuations.SetRelistPause([this] { return RelistPause(); });
  mConfigWatch->Start();
  mInstances.Start();
  if (MayEmptyZones()) {
    mEvacuations.Start();
  }
  mSuspicions.Start();
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::IsInformed() const
{
  return mUpstreams.Routes() != nullptr && !mUpstreams.Fleet().Instances().empty();
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::IsReady() const
{
  return IsInformed() && !mContext.starting && !mContext.stopping && !mTakesNobody;
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::HandleReadinessRequest(entry::responder& aResponder)
{
  const bool ready = IsReady();
  if (ready != mReportedReady) {
    mReportedReady = ready;
    WriteLog(kReadinessChanged,
             { { "ready", ready ? "true" : "false" },
               { "configured", mUpstreams.Routes() ? "true" : "false" },
               { "instances", std::to_string(mUpstreams.Fleet().Instances().size()) },
               { "starting", mContext.starting ? "true" : "false" },
               { "stopping", mContext.stopping ? "true" : "false" },
               { "connections", std::to_string(mServer.ConnectionCount()) } });
  }
  aResponder.Send({ ready ? kStatusOk : kStatusUnavailable, {}, ready ? "ready" : "not ready" });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::UpdateStart()
{
  if (!mContext.starting || !mMeshStartedAt) {
    return;
  }
  if (mInstances.TakeChangedFlag()) {
    OnInstancesChanged();
  }
  const bool storeMayAnswer =
    mContext.Now() - *mMeshStartedAt < process_limits::kMaxWaitForFirstLists;
  const bool knowsZones = !MayEmptyZones() || mEvacuations.IsListed();
  if ((!IsInformed() || !knowsZones) && storeMayAnswer) {
    return;
  }
  mContext.starting = false;
  UpdatePaths();
  for (const auto& [name, change] : std::exchange(mUnpublished, {})) {
    mMesh.Publish(change);
  }
  if (mLastRead.upTo.value > 0) {
    mMesh.SetStorePosition(mLastRead, true);
  }
  mCallHandler.HandleHeld();
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::ObserveDelay()
{
  mMetrics.Observe(kLoopDelay, MetricSeconds(mContext.watch.OnTick(mContext.Now())));
  if (const auto late = mContext.watch.TakeLateTick()) {
    WriteLog(kLoopLate,
             { { "late_ms", std::to_string(late->delay.ms) },
               { "work", late->work },
               { "calls", std::to_string(mExchanges.Count()) },
               { "tunnels", std::to_string(mRelay.TunnelCount()) },
               { "outcome", "work of the loop waited" } });
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::MakeRoomForCallers()
{
  const std::size_t open = mServer.ConnectionCount();
  const std::size_t excess = IdleConnectionsToClose(open, mDescriptors.callers);
  const std::size_t closed = excess > 0 ? mServer.CloseLongestIdle(excess, 0) : 0;
  if (closed > 0) {
    mMetrics.Count(
      kIdleConnectionsClosed, { { "cause", "descriptors" } }, static_cast<double>(closed));
  }
  mTakesNobody = open - closed >= mDescriptors.callers;
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::CloseIdleCallers()
{
  const auto& routes = mUpstreams.Routes();
  const duration limit = routes ? routes->Configuration().limits.idleTimeout : duration{};
  const std::size_t closed = limit.ms > 0 ? mServer.CloseIdle(limit, 0) : 0;
  if (closed > 0) {
    mMetrics.Count(
      kIdleConnectionsClosed, { { "cause", "idle_timeout" } }, static_cast<double>(closed));
  }
  mMetrics.Set(
    kDescriptors, static_cast<double>(mServer.ConnectionCount()), { { "purpose", "callers" } });
  mMetrics.Set(
    kDescriptors, static_cast<double>(2 * mRelay.TunnelCount()), { { "purpose", "relays" } });
  mMetrics.Set(
    kDescriptors, static_cast<double>(mCalls.CallCount()), { { "purpose", "upstreams" } });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnFastTick()
{
  ObserveDelay();
  UpdateReading();
  MakeRoomForCallers();
  mCrashes.OnFastTick();
  mCalls.OnFastTick();
  if (mInstances.TakeChangedFlag()) {
    mContext.Measured(loop_work::instances, [this] { OnInstancesChanged(); });
  }
  UpdateStart();
  mCallHandler.RefuseExpiredHeld();
  mContext.Measured(loop_work::assembly, [this] { mAssembly.Reconcile(); });
  TellModelLoads();
  mContext.Measured(loop_work::progress, [this] {
    for (const auto& exchange : mExchanges.Snapshot()) {
      exchange->CheckProgress();
    }
  });
  mUpstreamLoop.After(kFastTickInterval, [this] { OnFastTick(); });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnSlowTick()
{
  mContext.Measured(loop_work::housekeeping, [this] { DoHousekeeping(); });
  CloseIdleCallers();
  mUpstreamLoop.After(process_limits::kSlowTickInterval, [this] { OnSlowTick(); });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::DoHousekeeping()
{
  const time_point now = mContext.Now();
  const std::vector<router_id> liveGateways = mMesh.LiveGateways();
  mStatements.OnSlowTick(liveGateways);
  // Gateways that this one no longer reaches may go on using their part.
  const dispatch::live_routers& gateways = mUpstreams.Conditions().Limits().Routers();
  mContext.gatewayCount = gateways.HasSettled(now) ? std::optional(gateways.Count()) : std::nullopt;
  mUpstreams.SetRouters(liveGateways);
  mProber.SetGateways(mSettings.id, liveGateways);
  UpdatePaths();
  mProber.RecheckBrokenGroups();
  mReading.SetLive(mMesh.ReaderCandidates());
  // The gateway that forms the groups needs changes of the instances soonest.
  const duration batchDelay = BatchDelay(mReading.ReaderCount(), mSettings.leaveNotice);
  mInstances.SetLongPollTimeout(ReaderPollTimeout(
    mReading, LongPollTimeout(mSettings.storeSilenceTimeout), mContext.random.NextDouble()));
  mInstances.SetBatchDelay(mLease.IsHolder() ? kMinBatchDelay : batchDelay);
  mCrashes.OnSlowTick(mSettings.id, liveGateways);
  mSuspicions.Update(false);
  SetGauges(liveGateways.size());
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::SetGauges(std::size_t aLiveGateways)
{
  const time_point now = mContext.Now();
  mMetrics.Set(kLogLinesDropped, static_cast<double>(DroppedLogLines()));
  mMetrics.Set(kPeers, static_cast<double>(aLiveGateways));
  mMetrics.Set(kGroups,
               static_cast<double>(mUpstreams.AvailableGroups(now).size()),
               { { "state", "serving" } });
  mCalls.SetGauges();
  mMetrics.Set(kColdUpstreams,
               static_cast<double>(mUpstreams.Conditions().Limits().ColdCount(now)));
  SetSlotGauges(now);
  mMetrics.Set(kTunnels, static_cast<double>(mRelay.TunnelCount()));
  mMetrics.Set(kStoreAge, MetricSeconds(mReading.Age(now)));
  mMetrics.Set(kConfigurationAge, MetricSeconds(now - mConfigWatch->LastResponseAt()));
  const std::vector<duration> ages = mMesh.PeerFrameAges();
  const auto oldest = std::max_element(ages.begin(), ages.end());
  mMetrics.Set(kLinkedPeers, static_cast<double>(ages.size()));
  mMetrics.Set(kPeerFrameAge, oldest == ages.end() ? 0 : MetricSeconds(*oldest));
  for (auto& [service, budget] : mContext.retryBudgets) {
    mMetrics.Set(kRepeatsLeft, budget.Remaining(now), { { "service", service.value } });
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::SetSlotGauges(time_point aNow)
{
  for (const auto& [service, model] : mUpstreams.Slots().Models()) {
    const std::vector<metric_label> labels{ { "service", service.value },
                                            { "model", model.value } };
    const dispatch::own_slot_use use = mUpstreams.Slots().UseOf(service, model);
    mMetrics.Set(kOwnSlots, static_cast<double>(use.slots), labels);
    mMetrics.Set(kOwnSlotsInUse, static_cast<double>(use.inUse), labels);
    mMetrics.Set(kModelUtilisation, mUpstreams.Utilisation(service, model, aNow), labels);
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnSlotFreed()
{
  if (std::exchange(mWillAskWaitingCalls, true)) {
    return;
  }
  // Not at once: the end of an exchange's attempt is the cause.
  mUpstreamLoop.Post([this] {
    mWillAskWaitingCalls = false;
    for (const auto& exchange : mExchanges.Snapshot()) {
      exchange->OnUpstreamsChanged();
    }
  });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::ReleaseLease()
{
  // The next holder would order beside this process otherwise.
  const time_point latest = steady_clock().Now() + process_limits::kMaxOrderTime;
  while (steady_clock().Now() < latest &&
         RunOnLoop([this] { return mAssembly.OrdersInFlight(); }) > 0) {
    Sleep(process_limits::kDrainPollInterval);
  }
  RunOnLoop([this] {
    mLease.Release();
    return 0;
  });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Drain(const stop_plan& aPlan)
{
  Sleep(std::max(aPlan.acceptsUntil - steady_clock().Now(), duration{}));
  RunOnLoop([this] {
    mContext.rejectsNewCalls = true;
    mCallHandler.HandleHeld();
    return 0;
  });
  // An exchange ends when its response has been handed to the connection, which may need longer.
  while (steady_clock().Now() < aPlan.answersUntil &&
         RunOnLoop([this] {
           return mExchanges.Count() + mRelay.TunnelCount() + mServer.CountUnsent(0);
         }) > 0) {
    Sleep(process_limits::kDrainPollInterval);
  }
  RunOnLoop([this] {
    for (const auto& exchange : mExchanges.Snapshot()) {
      exchange->OnShutdown();
    }
    return 0;
  });
  Sleep(process_limits::kFinalFlushTime);
  // What is accepted from now on could be read and not be answered before the process ends.
  mServer.Close(mSettings.listen);
  Sleep(process_limits::kFinalFlushTime);
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Reload(const gateway_settings& aSettings)
{
  const settings_diff diff = CompareSettings(mSettings, aSettings);
  RunOnLoop([&] {
    mSettings.peers = aSettings.peers;
    mSettings.retryLimits.ratio = aSettings.retryLimits.ratio;
    mSettings.retryLimits.slack = aSettings.retryLimits.slack;
    mSettings.leaveNotice = aSettings.leaveNotice;
    mReading.SetMaxAge(MaxReadAge(aSettings.leaveNotice));
    mContext.SetRetryLimits(mSettings.retryLimits);
    return 0;
  });
  mMesh.SetSeeds(aSettings.peers);
  WriteLog(kReloaded,
           { { "changed", fmt::format("{}", fmt::join(diff.applied, ",")) },
             { "needs_restart", fmt::format("{}", fmt::join(diff.restartRequired, ",")) } });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Stop()
{
  const stop_plan plan = PlanStop(steady_clock().Now(), mSettings.gracePeriod);
  const std::size_t inFlight = RunOnLoop([this, &plan] {
    mContext.stopping = true;
    mContext.answersUntil = plan.answersUntil;
    mLease.StopActing();
    return mExchanges.Count();
  });
  WriteLog(kGatewayStopping, { { "in_flight", std::to_string(inFlight) } });
  ReleaseLease();
  Drain(plan);
  RunOnLoop([this] {
    mConfigWatch->Stop();
    mInstances.Stop();
    mEvacuations.Stop();
    mSuspicions.Stop();
    mRelay.Stop();
    return 0;
  });
  mMesh.Stop();
  mParser.Stop();
  mLoop.Stop();
  WriteLog(kGatewayStopped, { { "left", std::to_string(mExchanges.Count()) } });
}

} // namespace persimmon::gateway
