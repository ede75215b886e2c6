#pragma once

// Definitions of the class template in gateway/gatewayprocess.h.

namespace persimmon::gateway {
namespace process_limits {

constexpr duration kOften = 50_ms;
constexpr duration kSecond = 1_s;
/// Time after a signal to stop in which new calls are taken: the balancer needs two questions, a
/// second apart, to send no new callers, and some it never stops sending.
constexpr duration kNotice = 2700_ms;
/// Part of the grace time that is spent on the notice at most.
constexpr std::int64_t kNoticeParts = 2;
/// Time left for the end of the process within the grace time.
constexpr duration kReserve = 900_ms;
constexpr duration kDrainPoll = 20_ms;
/// Answers that were handed to connections still leave in this time.
constexpr duration kLastAnswers = 150_ms;
/// Paces beyond this make no difference.
constexpr double kHighestPace = 100;
/// Name of the configuration among the mesh's documents.
constexpr const char* kConfigurationDocument = "configuration";
/// A body beyond the declared limit is read up to this factor, to be refused with a reason.
constexpr std::size_t kReadableBodyBytes = 32U << 20U;

} // namespace process_limits

template<gateway_dialect Dialect>
gateway_process<Dialect>::gateway_process(gateway_settings aSettings)
  : mSettings(std::move(aSettings))
  , mServer([this] {
    entry::server_options options;
    options.loops = { &mLoop };
    options.maxBodyBytes = process_limits::kReadableBodyBytes;
    return options;
  }())
{
  mContext.onStandstill = [this](const instance_id& aHead) { mProber.Suspect(aHead); };
  mProber.onBroken = [this](const fleet::engine_group& aGroup, const std::string& aCause) {
    OnBroken(aGroup, aCause, true);
  };
  mProber.onSuspected = [this](const fleet::engine_group& aGroup) {
    mAssembly.Suspect(aGroup.id, aGroup.epoch);
  };
  mProber.onWhole = [this](const fleet::engine_group& aGroup) {
    mBoard.ClearBroken(aGroup.id, aGroup.epoch);
    WriteLog(kGroupWhole,
             { { "group", aGroup.id.value }, { "epoch", std::to_string(aGroup.epoch.value) } });
  };
  mAssembly.mayAct = [this] { return mLease.Holds(); };
  mAssembly.onReport = [this](const instance_id& aInstance, const fleet::engine_report& aReport) {
    OnReport(aInstance, aReport);
  };
  mLease.onChange = [this] { OnLease(); };
  mInstances.onNews = [this](const peers::document_message& aNews) { mMesh.Publish(aNews); };
  mMesh.SetHandler(
    [this](const peers::mesh_message& aMessage, const router_id&) { OnMesh(aMessage); });
}

template<gateway_dialect Dialect>
gateway_process<Dialect>::~gateway_process()
{
  mMesh.Stop();
  mLoop.Stop();
}

template<gateway_dialect Dialect>
template<typename Function>
auto
gateway_process<Dialect>::OnLoop(Function aFunction)
{
  std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
  auto result = task.get_future();
  mLoop.Post([&task] { task(); });
  return result.get();
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::Listen()
{
  const auto listen = [this](const endpoint& aAddress, entry::request_handler aHandler) {
    if (mServer.Listen(aAddress, std::move(aHandler))) {
      return true;
    }
    mReason = aAddress.value + ": " + mServer.LastReason();
    return false;
  };
  const auto onCall = [this](entry::server_request aRequest, const auto& aResponder) {
    mFront.Handle(std::move(aRequest), aResponder);
  };
  const auto onReadiness = [this](const entry::server_request&, const auto& aResponder) {
    OnReadiness(*aResponder);
  };
  const auto onMetrics = [this](const entry::server_request&, const auto& aResponder) {
    aResponder->Send({ kStatusOk, { { "Content-Type", "text/plain" } }, mMetrics.Render() });
  };
  return listen(mSettings.readinessListen, onReadiness) && listen(mSettings.listen, onCall) &&
         (mSettings.metricsListen.Empty() || listen(mSettings.metricsListen, onMetrics));
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::Start()
{
  if (!Listen()) {
    return false;
  }
  if (!mMesh.Start()) {
    mReason = mMesh.LastReason();
    return false;
  }
  mLoop.Post([this] {
    StartWatches();
    mLease.Start();
    TickOften();
    TickEachSecond();
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
    for (const platform::stored_object& one : aList.objects) {
      if (one.key.name == Dialect::kConfigurationName) {
        ApplyConfiguration(one.value, one.version, "store");
      }
    }
  };
  onConfig.onChanges = [this](const platform::object_changes& aChanges) {
    for (const platform::object_change& one : aChanges.changes) {
      if (one.key.name == Dialect::kConfigurationName && !one.deleted) {
        ApplyConfiguration(one.value, one.version, "store");
      }
    }
  };
  onConfig.onState = [this](bool aAnswers) {
    mMesh.SetStoreState(aAnswers, mConfigRevision.value != 0);
  };
  watch_pace configPace;
  configPace.batch = 20_ms;
  configPace.wait = WatchWait(mSettings.storeSilenceTimeout);
  mConfigWatch = std::make_unique<kind_watch<store>>(
    mStore, mCalls, mMetrics, Dialect::kConfigurationKind, configPace, std::move(onConfig));

  mConfigWatch->Start();
  mInstances.Start();
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::ApplyConfiguration(const std::string& aText,
                                             revision aRevision,
                                             const char* aFrom)
{
  if (aRevision <= mConfigRevision) {
    return;
  }
  json_problem problem;
  auto read = Dialect::ReadConfiguration(aText, problem);
  if (!read) {
    WriteLog(kConfigurationRejected,
             { { "revision", std::to_string(aRevision.value) }, { "problem", problem.Text() } });
    return;
  }
  mConfigRevision = aRevision;
  WriteLog(kConfigurationInForce,
           { { "version", std::to_string(read->version) },
             { "revision", std::to_string(aRevision.value) },
             { "from", aFrom },
             { "routes", std::to_string(read->routes.size()) },
             { "customers", std::to_string(read->customers.size()) } });
  mMetrics.Set(kConfigurationVersion, static_cast<double>(read->version));
  mBoard.SetRoutes(std::make_shared<const routes::route_table>(std::move(*read)));
  mAssembly.Configure(mBoard.Routes()->Source());
  mMesh.Publish(
    peers::document_message{ { process_limits::kConfigurationDocument }, aRevision, aText });
  mMesh.SetStoreState(mConfigWatch && mConfigWatch->Answers(), true);
  OnInstances();
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnInstances()
{
  mBoard.FleetChanged();
  std::erase_if(
    mPaces, [this](const auto& aEntry) { return mBoard.Fleet().Find(aEntry.first) == nullptr; });
  for (const auto& one : mExchanges.All()) {
    one->UpstreamsChanged();
  }
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::IsReady() const
{
  return mBoard.Routes() != nullptr && !mBoard.Fleet().All().empty() && !mContext.stopping;
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnReadiness(entry::responder& aResponder)
{
  const bool ready = IsReady();
  if (ready != mWasReady) {
    mWasReady = ready;
    WriteLog(kReadinessChanged,
             { { "ready", ready ? "true" : "false" },
               { "configured", mBoard.Routes() ? "true" : "false" },
               { "instances", std::to_string(mBoard.Fleet().All().size()) },
               { "stopping", mContext.stopping ? "true" : "false" } });
  }
  aResponder.Send({ ready ? kStatusOk : kStatusUnavailable, {}, ready ? "ready" : "not ready" });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnMesh(const peers::mesh_message& aMessage)
{
  if (const auto* document = std::get_if<peers::document_message>(&aMessage)) {
    if (document->service.value == process_limits::kConfigurationDocument) {
      ApplyConfiguration(document->text, document->version, "peer");
    } else if (instance_feed<Dialect>::Concerns(*document)) {
      mInstances.TakeFromPeer(*document);
    }
  } else if (const auto* presence = std::get_if<peers::presence_message>(&aMessage)) {
    OnPresence(*presence);
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnPresence(const peers::presence_message& aPresence)
{
  const fleet::engine_group* group = mBoard.FindGroup(aPresence.group, aPresence.version);
  if (group == nullptr) {
    return;
  }
  const time_point now = mContext.Now();
  if (aPresence.whole) {
    mBoard.NoteLoad(group->Head(), { aPresence.running, aPresence.queued, 0 }, now - aPresence.age);
    return;
  }
  mAssembly.Suspect(group->id, group->epoch);
  const dispatch::upstream_record* record = mBoard.Record(group->Head());
  const bool heard = record != nullptr && now - record->heardAt < kProbeQuiet;
  if (!heard && !mBoard.IsBroken(group->id, group->epoch)) {
    OnBroken(*group, "told by " + aPresence.observer.value, false);
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnBroken(const fleet::engine_group& aGroup,
                                   const std::string& aCause,
                                   bool aTell)
{
  const fleet::engine_group group = aGroup;
  mBoard.MarkBroken(group.id, group.epoch);
  WriteLog(kGroupBroken,
           { { "group", group.id.value },
             { "epoch", std::to_string(group.epoch.value) },
             { "head", group.Head().value },
             { "cause", aCause } });
  if (aTell) {
    mMesh.Publish(peers::presence_message{ group.id, group.epoch, mSettings.id, {}, false, 0, 0 });
    mAssembly.Suspect(group.id, group.epoch);
  }
  for (const auto& one : mExchanges.All()) {
    one->GroupLost(group.Head());
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnReport(const instance_id& aInstance,
                                   const fleet::engine_report& aReport)
{
  mPaces[aInstance] = aReport.pace;
  const fleet::instance* before = mBoard.Fleet().Find(aInstance);
  const bool changed =
    before != nullptr && (before->member != aReport.member || before->life != aReport.life);
  mBoard.Fleet().Apply(aInstance, aReport);
  if (changed) {
    OnInstances();
  }
  const fleet::engine_group* group = mBoard.GroupOfHead(aInstance);
  if (group != nullptr && group->Serves() && !mBoard.IsBroken(group->id, group->epoch)) {
    const time_point now = mContext.Now();
    const double pace = SlowestPace(*group);
    mBoard.NoteLoad(aInstance, { aReport.running, aReport.queued, 0 }, now);
    mBoard.NoteToldPace(aInstance, pace, now);
    peers::presence_message presence;
    presence.group = group->id;
    presence.version = group->epoch;
    presence.observer = mSettings.id;
    presence.whole = true;
    presence.running = static_cast<std::uint32_t>(aReport.running);
    presence.queued = static_cast<std::uint32_t>(aReport.queued);
    presence.pacePercent = static_cast<std::uint32_t>(pace * peers::kExpectedPace);
    mMesh.Publish(presence);
  }
}

template<gateway_dialect Dialect>
double
gateway_process<Dialect>::SlowestPace(const fleet::engine_group& aGroup) const
{
  double slowest = 1;
  for (const instance_id& member : aGroup.members) {
    const auto found = mPaces.find(member);
    slowest = std::max(slowest, found == mPaces.end() ? 1 : found->second);
  }
  return std::min(slowest, process_limits::kHighestPace);
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnLease()
{
  const bool holds = mLease.Holds();
  mMetrics.Set(kLeaseHeld, holds ? 1 : 0);
  if (holds) {
    mAssembly.Lead(mLease.Token());
  } else {
    mAssembly.StopLeading();
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::TickOften()
{
  if (mInstances.TakeChanged()) {
    OnInstances();
  }
  mAssembly.Step();
  for (const auto& one : mExchanges.All()) {
    one->Watch();
  }
  mCalls.After(process_limits::kOften, [this] { TickOften(); });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::TickEachSecond()
{
  const time_point now = mContext.Now();
  mContext.gateways = mMesh.LiveCount();
  mBoard.SetRouters(mContext.gateways);
  mProber.Recheck();
  mMetrics.Set(kLogLinesLost, static_cast<double>(DroppedLogLines()));
  mMetrics.Set(kPeers, static_cast<double>(mContext.gateways));
  mMetrics.Set(
    kGroups, static_cast<double>(mBoard.ServingGroups(now).size()), { { "state", "serving" } });
  // Who forms groups must hear of instances soonest.
  const duration batch = BatchOf(mContext.gateways, mSettings.leaveNotice);
  mInstances.SetBatch(mLease.Holds() ? kShortestBatch : batch);
  const duration age = now - mInstances.AnsweredAt();
  mMetrics.Set(kStoreAge, static_cast<double>(age.ms) / 1000);
  for (auto& [service, budget] : mContext.budgets) {
    mMetrics.Set(kRepeatsLeft, budget.Left(now), { { "service", service.value } });
  }
  mCalls.After(process_limits::kSecond, [this] { TickEachSecond(); });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Drain()
{
  const time_point begun = steady_clock().Now();
  const time_point last = begun + mSettings.gracePeriod - process_limits::kReserve;
  const auto sleep = [](duration aSpan) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aSpan.ms));
  };
  sleep(std::min(process_limits::kNotice, mSettings.gracePeriod / process_limits::kNoticeParts));
  OnLoop([this] { return mContext.closing = true; });
  while (steady_clock().Now() < last && OnLoop([this] { return mExchanges.Count(); }) > 0) {
    sleep(process_limits::kDrainPoll);
  }
  OnLoop([this] {
    for (const auto& one : mExchanges.All()) {
      one->Stop();
    }
    return 0;
  });
  sleep(process_limits::kLastAnswers);
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Reload(const gateway_settings& aSettings)
{
  const settings_change change = CompareSettings(mSettings, aSettings);
  OnLoop([&] {
    mSettings.peers = aSettings.peers;
    mSettings.repeatLimits.ratio = aSettings.repeatLimits.ratio;
    mSettings.repeatLimits.slack = aSettings.repeatLimits.slack;
    mSettings.leaveNotice = aSettings.leaveNotice;
    mContext.SetRepeatLimits(mSettings.repeatLimits);
    return 0;
  });
  mMesh.SetSeeds(aSettings.peers);
  WriteLog(kReloaded,
           { { "changed", fmt::format("{}", fmt::join(change.taken, ",")) },
             { "needs_restart", fmt::format("{}", fmt::join(change.needRestart, ",")) } });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Stop()
{
  const std::size_t inFlight = OnLoop([this] {
    mContext.stopping = true;
    mLease.Stop();
    return mExchanges.Count();
  });
  WriteLog(kGatewayStopping, { { "in_flight", std::to_string(inFlight) } });
  Drain();
  OnLoop([this] {
    mConfigWatch->Stop();
    mInstances.Stop();
    return 0;
  });
  mMesh.Stop();
  mLoop.Stop();
  WriteLog(kGatewayStopped, { { "left", std::to_string(mExchanges.Count()) } });
}

} // namespace persimmon::gateway
