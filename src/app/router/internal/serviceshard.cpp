#include "app/router/serviceshard.h"

#include <algorithm>

namespace persimmon::router {
namespace {

/// Requests wait this long for a first or new upstream; afterwards they are refused at once.
constexpr duration kOutageGrace = 5_s;

} // namespace

service_shard::service_shard(const service_name& aService,
                             const router_id& aSelf,
                             const zone_name& aZone,
                             std::uint64_t aSeed,
                             time_point aNow)
  : mName(aService)
  , mView(std::make_shared<const routing::service_view>())
  , mAdmission(aSelf, aService)
  , mChooser(aZone, aSeed)
  , mEligibleAt(aNow)
{
}

std::shared_ptr<const routing::service_view>
service_shard::View() const
{
  const std::lock_guard lock(mMutex);
  return mView;
}

std::vector<routing::admission_action>
service_shard::Update(std::shared_ptr<const routing::service_view> aView, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  if (aView->document && aView->document != mView->document) {
    const limits_spec& limits = aView->document->document.limits;
    mAdmission.SetDocument(aView->document->document);
    mChooser.Pool().SetLimit(static_cast<std::uint32_t>(limits.concurrencyPerUpstream));
    if (mView->document) {
      mBudget.SetPercent(limits.retryPercent);
    } else {
      mBudget = routing::retry_budget(limits.retryPercent);
    }
  }
  mView = std::move(aView);
  mAdmission.SetRouterCount(mView->routers);
  if (mView->document && mView->document->document.kind == service_kind::model) {
    mAdmission.SetObservedLoad(mView->ReportedLoad(), aNow);
  }
  mChooser.Pool().SetRouterCount(mView->routers);
  mChooser.Pool().Update(mView->candidates, aNow);
  return CountUpstreams(aNow);
}

std::vector<routing::admission_action>
service_shard::CountUpstreams(time_point aNow)
{
  const std::size_t count = mView->EligibleCount(aNow);
  if (count > 0) {
    mEligibleAt = aNow;
  }
  return mAdmission.SetUpstreams(count, aNow);
}

bool
service_shard::IsOut(time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  return aNow - mEligibleAt > kOutageGrace;
}

std::vector<routing::admission_action>
service_shard::Arrive(const routing::admission_request& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return mAdmission.Submit(aRequest, aNow);
}

std::vector<routing::admission_action>
service_shard::Finish(const request_id& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return mAdmission.Finish(aRequest, aNow);
}

std::vector<routing::admission_action>
service_shard::Leave(const request_id& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return mAdmission.Cancel(aRequest, aNow);
}

std::vector<routing::admission_action>
service_shard::Tick(time_point aNow)
{
  const std::lock_guard lock(mMutex);
  std::vector<routing::admission_action> actions = CountUpstreams(aNow);
  for (routing::admission_action& action : mAdmission.Tick(aNow)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

chosen_upstream
service_shard::Choose(const routing::choice_request& aRequest, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  chosen_upstream chosen{ mChooser.Choose(aRequest, aNow), {} };
  if (chosen.choice.target) {
    chosen.ticket = mChooser.Pool().Start(chosen.choice.slot, aNow);
    if (aRequest.excluded.empty()) {
      mBudget.OnFirstAttempt(aNow);
    }
  }
  return chosen;
}

void
service_shard::Report(std::size_t aSlot, const routing::load_report& aReport)
{
  const std::lock_guard lock(mMutex);
  mChooser.Pool().ApplyLoadReport(aSlot, aReport);
}

void
service_shard::Progress(const routing::dispatch_ticket& aTicket,
                        std::uint32_t aTokens,
                        time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mChooser.Pool().RecordProgress(aTicket, aTokens, aNow);
}

void
service_shard::FinishAttempt(const routing::dispatch_ticket& aTicket,
                             const routing::attempt_result& aResult,
                             time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mChooser.Pool().Finish(aTicket, aResult, aNow);
}

std::vector<routing::health_change>
service_shard::Maintain(time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return mChooser.Pool().UpdateHealth(aNow);
}

routing::retry_verdict
service_shard::DecideRetry(const routing::failed_attempt& aFailed, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  return routing::DecideRetry(aFailed, mBudget, aNow);
}

void
service_shard::Apply(const peers::customer_load_message& aShare, time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mAdmission.Apply(aShare, aNow);
}

std::vector<peers::customer_load_message>
service_shard::Shares() const
{
  const std::lock_guard lock(mMutex);
  return mAdmission.LocalShares();
}

std::size_t
service_shard::Running() const
{
  const std::lock_guard lock(mMutex);
  return mAdmission.Running();
}

std::size_t
service_shard::Waiting() const
{
  const std::lock_guard lock(mMutex);
  return mAdmission.Waiting();
}

service_figures
service_shard::Figures(time_point aNow) const
{
  const std::lock_guard lock(mMutex);
  const auto& slots = mChooser.Pool().Slots();
  const auto onProbation =
    std::count_if(slots.begin(), slots.end(), [](const routing::pool_slot& aSlot) {
      return aSlot.listed && aSlot.onProbation;
    });
  return { mAdmission.Running(),
           mAdmission.Waiting(),
           mView->EligibleCount(aNow),
           static_cast<std::size_t>(onProbation),
           mBudget.TokensLeft(aNow) };
}

} // namespace persimmon::router
