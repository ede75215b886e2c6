#pragma once

// Definitions of the class template in gateway/gatewayprocess.h: what this process learns from the
// store, from engines and from other gateways.

namespace persimmon::gateway {
namespace process_limits {

/// Upper bound of a group's slowdown; higher values make no difference.
constexpr double kMaxSlowdown = 100;
/// Longest pause before a list that all gateways read at about the same time.
constexpr duration kMaxRelistPause = 150_ms;
/// Text of a configuration from which on it is parsed beside the event loop: on a small instance it
/// would hold up the events of all streams.
constexpr std::size_t kLargeConfigurationBytes = 16U << 10U;
/// Interval at which the holder of the lease, which asks all groups for reports, tells the load of
/// each model.
constexpr duration kModelLoadInterval = 250_ms;
/// Name of the mesh document that holds the configuration.
constexpr const char* kConfigurationDocument = "configuration";

} // namespace process_limits

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::ApplyConfiguration(const std::string& aText,
                                             revision aRevision,
                                             const char* aSource)
{
  const received_configuration received{ aText, aRevision, aSource };
  if (IsKnown(received)) {
    return;
  }
  if (aText.size() < process_limits::kLargeConfigurationBytes || !mUpstreams.Routes()) {
    Activate(received, Parse(received));
    return;
  }
  (received.IsFromStore() ? mNextFromStore : mNextFromPeer) = received;
  ParseNextConfiguration();
}

template<gateway_dialect Dialect>
bool
gateway_process<Dialect>::IsKnown(const received_configuration& aReceived) const
{
  const auto& present = mUpstreams.Routes();
  if (mRejectedHash && HashText(aReceived.text) == *mRejectedHash) {
    return true;
  }
  if (!present) {
    return false;
  }
  // Peers name the operator's version, the store a revision of its own.
  return aReceived.IsFromStore() ? HashText(aReceived.text) == mConfigurationHash
                                 : aReceived.version.value <= present->Configuration().version;
}

template<gateway_dialect Dialect>
parsed_configuration
gateway_process<Dialect>::Parse(const received_configuration& aReceived)
{
  parsed_configuration parsed;
  json_problem problem;
  if (auto configuration = Dialect::ParseConfiguration(aReceived.text, problem)) {
    parsed.table = std::make_shared<const routes::route_table>(std::move(*configuration));
  } else {
    parsed.problem = problem.Text();
  }
  return parsed;
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::ParseNextConfiguration()
{
  if (mIsParsing) {
    return;
  }
  auto next = mNextFromStore ? std::exchange(mNextFromStore, std::nullopt)
                             : std::exchange(mNextFromPeer, std::nullopt);
  if (!next) {
    return;
  }
  if (IsKnown(*next)) {
    ParseNextConfiguration();
    return;
  }
  mIsParsing = true;
  mParser.Post([this, received = std::move(*next)] {
    mLoop.Post([this, received, parsed = Parse(received)] {
      mIsParsing = false;
      Activate(received, parsed);
      ParseNextConfiguration();
    });
  });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::Activate(const received_configuration& aReceived,
                                   const parsed_configuration& aParsed)
{
  mContext.Measured(loop_work::configuration, [&] { PutInForce(aReceived, aParsed); });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::PutInForce(const received_configuration& aReceived,
                                     const parsed_configuration& aParsed)
{
  if (!aParsed.table) {
    mRejectedHash = HashText(aReceived.text);
    mMetrics.Count(kConfigurationsRejected, {});
    WriteLog(kConfigurationRejected,
             { { "revision", platform::RevisionText(aReceived.version) },
               { "problem", aParsed.problem } });
    return;
  }
  const routes::configuration& configuration = aParsed.table->Configuration();
  // The operator's version orders configurations also when the store comes back from an older copy
  // and gives revisions out again.
  const auto& present = mUpstreams.Routes();
  if (present && configuration.version <= present->Configuration().version) {
    return;
  }
  const revision meshVersion{ configuration.version };
  mConfigurationHash = HashText(aReceived.text);
  WriteLog(kConfigurationInForce,
           { { "version", std::to_string(configuration.version) },
             { "revision", platform::RevisionText(aReceived.version) },
             { "from", aReceived.source },
             { "routes", std::to_string(configuration.routes.size()) },
             { "customers", std::to_string(configuration.customers.size()) } });
  mMetrics.Set(kConfigurationVersion, static_cast<double>(configuration.version));
  mServer.SetHeadTimeLimit(configuration.limits.headerTimeout * process_limits::kHeadTimeFactor);
  mUpstreams.SetRoutes(aParsed.table);
  mAssembly.Configure(configuration);
  mMesh.Publish(peers::document_message{
    { process_limits::kConfigurationDocument }, meshVersion, aReceived.text, true });
  mMesh.SetStoreState(mConfigWatch && mConfigWatch->IsAvailable(), true);
  OnInstancesChanged();
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnStoreEra(std::optional<platform::store_era> aFormer,
                                     platform::store_era aPresent)
{
  mLease.OnEraChange(aPresent);
  mMesh.SetStoreAge(aPresent == platform::store_era{});
  if (!aFormer) {
    return;
  }
  WriteLog(kStoreEraChanged,
           { { "former", std::to_string(aFormer->value) },
             { "present", std::to_string(aPresent.value) },
             { "dropped", "lease, revisions of all watches" },
             { "instances", std::to_string(mUpstreams.Fleet().Instances().size()) } });
  mMetrics.Count(kStoreEraChanges, {});
  mConfigWatch->Restart(RelistPause());
  mInstances.Restart(RelistPause());
  if (MayEmptyZones()) {
    mEvacuations.Restart(RelistPause());
  }
  mSuspicions.Restart(RelistPause());
}

template<gateway_dialect Dialect>
duration
gateway_process<Dialect>::RelistPause()
{
  const auto longest = static_cast<std::uint64_t>(process_limits::kMaxRelistPause.ms);
  return { static_cast<std::int64_t>(mContext.random.Below(longest)) };
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::UpdatePaths()
{
  std::set<endpoint> addresses;
  for (const auto& [id, instance] : mUpstreams.Fleet().Instances()) {
    addresses.insert(instance.address);
  }
  mCalls.SetUpstreams(std::move(addresses));
  mCalls.SetPeers(mMesh.RelayPeers());
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnInstancesChanged()
{
  mUpstreams.OnFleetChanged();
  mUpstreams.UpdateWarmups(mContext.Now());
  mCrashes.OnInstancesChanged();
  std::erase_if(mReportedSlowdowns, [this](const auto& aEntry) {
    return mUpstreams.Fleet().Find(aEntry.first) == nullptr;
  });
  std::erase_if(mContext.withoutReport, [this](const instance_id& aInstance) {
    return mUpstreams.Fleet().Find(aInstance) == nullptr;
  });
  for (const auto& exchange : mExchanges.Snapshot()) {
    exchange->OnUpstreamsChanged();
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnMeshMessage(const peers::mesh_message& aMessage)
{
  if (const auto* document = std::get_if<peers::document_message>(&aMessage)) {
    if (document->service.value == process_limits::kConfigurationDocument) {
      ApplyConfiguration(document->text, document->version, received_configuration::kFromPeer);
    } else if (evacuation_feed<Dialect>::IsEvacuationDocument(*document)) {
      mEvacuations.ApplyPeerDocument(*document);
    } else if (instance_feed<Dialect>::IsInstanceDocument(*document)) {
      if (mInstances.ApplyPeerDocument(*document)) {
        mUnpublished.erase(document->service);
      }
    }
  } else if (const auto* presence = std::get_if<peers::presence_message>(&aMessage)) {
    OnPresenceMessage(*presence);
  } else if (const auto* load = std::get_if<peers::model_load_message>(&aMessage)) {
    mUpstreams.RecordModelLoad(load->service,
                               { load->model },
                               { static_cast<double>(load->calls),
                                 static_cast<double>(load->slots),
                                 mContext.Now() - load->age });
  } else if (const auto* limit = std::get_if<peers::rate_limit_message>(&aMessage)) {
    mStatements.Apply(*limit);
  } else if (const auto* leaving = std::get_if<peers::leaving_message>(&aMessage)) {
    mStatements.Apply(*leaving);
  } else {
    mCrashes.Apply(poison::suspicion_changes::FromMessage(aMessage));
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnPresenceMessage(const peers::presence_message& aPresence)
{
  const fleet::engine_group* group = mUpstreams.FindGroup(aPresence.group, aPresence.version);
  if (group == nullptr) {
    return;
  }
  const time_point now = mContext.Now();
  // A loss that is proved needs this gateway's own questions to be taken back.
  if (aPresence.isRecovery &&
      mUpstreams.BrokenEvidence(group->id, group->epoch) == fleet::fault_evidence::silence) {
    const fleet::engine_group recovered = *group;
    OnGroupRecovered(recovered, aPresence.observer.value);
    return;
  }
  if (aPresence.isRecovery) {
    return;
  }
  if (aPresence.complete) {
    mUpstreams.Stats().RecordReportedLoad(
      group->Head(), { aPresence.running, aPresence.queued, 0 }, now - aPresence.age);
    return;
  }
  mAssembly.SuspectGroup(group->id, group->epoch);
  const dispatch::upstream_stats* stats = mUpstreams.Stats().Find(group->Head());
  const bool recentlyReceived = stats != nullptr && now - stats->lastByteAt < kHeadActivityWindow;
  if (!recentlyReceived && !mUpstreams.IsBroken(group->id, group->epoch)) {
    const std::string cause = "reported by gateway " + aPresence.observer.value;
    const fleet::engine_group reported = *group;
    OnGroupBroken(reported, { fleet::fault_evidence::silence, cause }, false);
    mProber.ProbeReportedGroup(reported);
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnGroupBroken(const fleet::engine_group& aGroup,
                                        const member_fault& aFault,
                                        bool aPublish)
{
  const fleet::engine_group group = aGroup;
  mUpstreams.MarkBroken(group.id, group.epoch, aFault.evidence);
  WriteLog(kGroupBroken,
           { { "group", group.id.value },
             { "epoch", std::to_string(group.epoch.value) },
             { "head", group.Head().value },
             { "evidence", fleet::FaultEvidenceName(aFault.evidence) },
             { "cause", aFault.cause } });
  if (aPublish) {
    mMesh.Publish(peers::presence_message{ group.id, group.epoch, mSettings.id, {}, false, 0, 0 });
    mAssembly.SuspectGroup(group.id, group.epoch);
  }
  if (aFault.evidence == fleet::fault_evidence::silence) {
    mCrashes.GroupSilent(group);
  }
  for (const auto& exchange : mExchanges.Snapshot()) {
    exchange->CheckProgress();
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnGroupRecovered(const fleet::engine_group& aGroup,
                                           const std::string& aFoundBy)
{
  mUpstreams.ClearBroken(aGroup.id, aGroup.epoch);
  mCrashes.GroupWorks(aGroup);
  WriteLog(kGroupWhole,
           { { "group", aGroup.id.value },
             { "epoch", std::to_string(aGroup.epoch.value) },
             { "found_by", aFoundBy } });
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnEngineReport(const instance_id& aInstance,
                                         const fleet::engine_report& aReport)
{
  mReportedSlowdowns[aInstance] = aReport.slowdown;
  const fleet::instance* known = mUpstreams.Fleet().Find(aInstance);
  const bool changed = known != nullptr && (known->membership != aReport.membership ||
                                            known->incarnationId != aReport.incarnationId);
  mUpstreams.Fleet().ApplyReport(aInstance, aReport);
  if (changed) {
    OnInstancesChanged();
  }
  const fleet::engine_group* group = mUpstreams.FindGroupByHead(aInstance);
  if (group != nullptr && group->IsServing() && !mUpstreams.IsBroken(group->id, group->epoch)) {
    const time_point now = mContext.Now();
    const double slowdown = HighestSlowdown(*group);
    mUpstreams.Stats().RecordReportedLoad(aInstance, { aReport.running, aReport.queued, 0 }, now);
    mUpstreams.Stats().RecordReportedSlowdown(aInstance, slowdown, now);
    peers::presence_message presence;
    presence.group = group->id;
    presence.version = group->epoch;
    presence.observer = mSettings.id;
    presence.complete = true;
    presence.running = static_cast<std::uint32_t>(aReport.running);
    presence.queued = static_cast<std::uint32_t>(aReport.queued);
    presence.slowestMemberPercent =
      static_cast<std::uint32_t>(slowdown * peers::kExpectedMemberPercent);
    mMesh.Publish(presence);
  }
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::TellModelLoads()
{
  const time_point now = mContext.Now();
  if (!mLease.IsHolder() || now - mLoadsToldAt < process_limits::kModelLoadInterval) {
    return;
  }
  mLoadsToldAt = now;
  for (const auto& [service, model] : mUpstreams.Slots().Models()) {
    const dispatch::model_load load = mUpstreams.ReportedLoad(service, model, now);
    if (load.slots > 0) {
      mUpstreams.RecordModelLoad(service, model, { load.calls, load.slots, now });
      mMesh.Publish(peers::model_load_message{ mSettings.id,
                                               service,
                                               model.value,
                                               static_cast<std::uint32_t>(load.calls),
                                               static_cast<std::uint32_t>(load.slots),
                                               {} });
    }
  }
}

template<gateway_dialect Dialect>
double
gateway_process<Dialect>::HighestSlowdown(const fleet::engine_group& aGroup) const
{
  double highest = 1;
  for (const instance_id& member : aGroup.members) {
    const auto found = mReportedSlowdowns.find(member);
    highest = std::max(highest, found == mReportedSlowdowns.end() ? 1 : found->second);
  }
  return std::min(highest, process_limits::kMaxSlowdown);
}

template<gateway_dialect Dialect>
void
gateway_process<Dialect>::OnLeaseChanged()
{
  const bool isHolder = mLease.IsHolder();
  mMetrics.Set(kLeaseHeld, isHolder ? 1 : 0);
  if (isHolder) {
    mAssembly.StartLeading(mLease.Token());
  } else {
    mAssembly.StopLeading();
  }
}

} // namespace persimmon::gateway
