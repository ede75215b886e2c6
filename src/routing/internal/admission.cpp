#include "routing/admission.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace persimmon::routing {
namespace {

/// Weight of a new sample in the smoothed run time of requests.
constexpr double kRunTimeSampleWeight = 0.1;
/// Requests that must have ended before wait times are estimated.
constexpr std::uint64_t kMinEndedRequests = 5;
/// Time between updates of the limit. The use at other routers is not reported more often, and at
/// each update a router may take its part of the idle capacity once.
constexpr duration kLimitUpdateInterval = 500_ms;
constexpr duration kMinRetryAfter = 1_s;
constexpr duration kMaxRetryAfter = 60_s;

std::uint32_t
DivideRoundingUp(std::uint32_t aValue, std::size_t aBy)
{
  return static_cast<std::uint32_t>((aValue + aBy - 1) / aBy);
}

} // namespace

bool
admission::dispatch_order::operator()(const waiting_request& aLeft,
                                      const waiting_request& aRight) const
{
  return std::tie(aLeft.request.priority, aLeft.request.deadline, aLeft.sequence) <
         std::tie(aRight.request.priority, aRight.request.deadline, aRight.sequence);
}

admission::admission(router_id aSelf, service_name aService)
  : mSelf(std::move(aSelf))
  , mService(std::move(aService))
{
}

void
admission::SetDocument(const service_document& aDocument)
{
  mLimits = aDocument.limits;
  for (auto& [name, customer] : mCustomers) {
    customer.weight = 0;
  }
  for (const customer_spec& customer : aDocument.customers) {
    mCustomers[customer.name].weight = customer.weight;
  }
}

std::vector<admission_action>
admission::SetUpstreams(std::size_t aCount, time_point aNow)
{
  if (aCount != mUpstreams) {
    mUpstreams = aCount;
    mLimitUpdatedAt = { INT64_MIN };
  }
  return Tick(aNow);
}

std::uint32_t
admission::Capacity() const
{
  return static_cast<std::uint32_t>(static_cast<std::int64_t>(mUpstreams) *
                                    mLimits.concurrencyPerUpstream);
}

double
admission::UsePerWeight(const customer_state& aCustomer)
{
  const std::uint32_t use = aCustomer.running + aCustomer.runningElsewhere;
  return static_cast<double>(use) /
         static_cast<double>(std::max<std::int64_t>(1, aCustomer.weight));
}

double
admission::DemandPerWeight(const customer_state& aCustomer)
{
  return UsePerWeight(aCustomer) +
         static_cast<double>(aCustomer.queue.size()) /
           static_cast<double>(std::max<std::int64_t>(1, aCustomer.weight));
}

std::vector<admission_action>
admission::Submit(const admission_request& aRequest, time_point aNow)
{
  action_list actions;
  const waiting_request arrived{ aRequest, aNow, mNextSequence++ };
  const auto customer = mCustomers.find(aRequest.customer);
  if (customer == mCustomers.end() || customer->second.weight == 0) {
    Refuse(arrived, admission_verdict::unknown_customer, aNow, actions);
  } else if (!CanMeetDeadline(aRequest, {}, aNow)) {
    Refuse(arrived, admission_verdict::deadline_passed, aNow, actions);
  } else if (mWaiting.empty() && mRunning.size() < mLimit) {
    Start(arrived, aNow, actions);
  } else {
    EnqueueOrRefuse(arrived, aNow, actions);
  }
  return actions;
}

void
admission::Start(const waiting_request& aRequest, time_point aNow, action_list& aActions)
{
  ++mCustomers[aRequest.request.customer].running;
  mRunning[aRequest.request.request] = { aRequest.request.customer, aNow };
  aActions.push_back(
    { aRequest.request.request, admission_verdict::start, {}, aNow - aRequest.arrivedAt });
}

void
admission::Refuse(const waiting_request& aRequest,
                  admission_verdict aVerdict,
                  time_point aNow,
                  action_list& aActions) const
{
  duration retryAfter{};
  if (aVerdict != admission_verdict::unknown_customer) {
    retryAfter = std::clamp(EstimateWait(aRequest), kMinRetryAfter, kMaxRetryAfter);
  }
  aActions.push_back({ aRequest.request.request, aVerdict, retryAfter, aNow - aRequest.arrivedAt });
}

bool
admission::CanMeetDeadline(const admission_request& aRequest, duration aWait, time_point aNow) const
{
  const duration run{ static_cast<std::int64_t>(mSmoothedRunMs) };
  return aRequest.deadline - aNow > aWait + run;
}

void
admission::EnqueueOrRefuse(const waiting_request& aRequest, time_point aNow, action_list& aActions)
{
  if (!CanMeetDeadline(aRequest.request, EstimateWait(aRequest), aNow)) {
    Refuse(aRequest, admission_verdict::wait_exceeds_deadline, aNow, aActions);
    return;
  }
  if (mWaiting.size() >= static_cast<std::size_t>(mLimits.maxQueued) &&
      !DisplaceForNewRequest(aRequest, aNow, aActions)) {
    return;
  }
  const auto customer = mCustomers.find(aRequest.request.customer);
  const auto position = customer->second.queue.insert(aRequest).first;
  mWaiting[aRequest.request.request] = { customer, position };
}

bool
admission::DisplaceForNewRequest(const waiting_request& aNew,
                                 time_point aNow,
                                 action_list& aActions)
{
  customer_state& own = mCustomers[aNew.request.customer];
  customer_state* mostDemanding = &own;
  for (auto& [name, customer] : mCustomers) {
    if (!customer.queue.empty() && DemandPerWeight(customer) > DemandPerWeight(*mostDemanding)) {
      mostDemanding = &customer;
    }
  }
  if (mostDemanding->queue.empty()) {
    Refuse(aNew, admission_verdict::queue_full, aNow, aActions);
    return false;
  }
  const auto last = std::prev(mostDemanding->queue.end());
  if (mostDemanding == &own && !dispatch_order{}(aNew, *last)) {
    Refuse(aNew, admission_verdict::customer_over_share, aNow, aActions);
    return false;
  }
  Refuse(*last, admission_verdict::customer_over_share, aNow, aActions);
  Dequeue(*mostDemanding, last);
  return true;
}

void
admission::Dequeue(customer_state& aCustomer, waiting_queue::iterator aPosition)
{
  mWaiting.erase(aPosition->request.request);
  aCustomer.queue.erase(aPosition);
}

void
admission::StartWaiting(time_point aNow, action_list& aActions)
{
  while (!mWaiting.empty() && mRunning.size() < mLimit) {
    customer_state* next = nullptr;
    for (auto& [name, customer] : mCustomers) {
      if (!customer.queue.empty() &&
          (next == nullptr || UsePerWeight(customer) < UsePerWeight(*next))) {
        next = &customer;
      }
    }
    const waiting_request request = *next->queue.begin();
    Dequeue(*next, next->queue.begin());
    Start(request, aNow, aActions);
  }
}

void
admission::RefuseExpired(time_point aNow, action_list& aActions)
{
  for (auto& [name, customer] : mCustomers) {
    for (auto current = customer.queue.begin(); current != customer.queue.end();) {
      const auto position = current++;
      if (!CanMeetDeadline(position->request, {}, aNow)) {
        Refuse(*position, admission_verdict::deadline_passed, aNow, aActions);
        Dequeue(customer, position);
      }
    }
  }
}

std::vector<admission_action>
admission::Finish(const request_id& aRequest, time_point aNow)
{
  action_list actions;
  const auto found = mRunning.find(aRequest);
  if (found == mRunning.end()) {
    return actions;
  }
  --mCustomers[found->second.customer].running;
  RecordRunTime(found->second.startedAt, aNow);
  mRunning.erase(found);
  RefuseExpired(aNow, actions);
  StartWaiting(aNow, actions);
  return actions;
}

std::vector<admission_action>
admission::Cancel(const request_id& aRequest, time_point aNow)
{
  const auto found = mWaiting.find(aRequest);
  if (found == mWaiting.end()) {
    return Finish(aRequest, aNow);
  }
  const auto [customer, position] = found->second;
  Dequeue(customer->second, position);
  return {};
}

std::vector<admission_action>
admission::Tick(time_point aNow)
{
  action_list actions;
  if (mLimitUpdatedAt.ms == INT64_MIN || mLimitUpdatedAt + kLimitUpdateInterval <= aNow) {
    UpdateRemoteUse(aNow);
    UpdateLimit(aNow);
  }
  RefuseExpired(aNow, actions);
  StartWaiting(aNow, actions);
  std::erase_if(mCustomers, [](const auto& aEntry) {
    const customer_state& customer = aEntry.second;
    return customer.weight == 0 && customer.running == 0 && customer.queue.empty();
  });
  return actions;
}

void
admission::RecordRunTime(time_point aStartedAt, time_point aNow)
{
  const auto ran = static_cast<double>((aNow - aStartedAt).ms);
  mSmoothedRunMs =
    mEndedRequests == 0 ? ran : mSmoothedRunMs + kRunTimeSampleWeight * (ran - mSmoothedRunMs);
  ++mEndedRequests;
}

duration
admission::EstimateWait(const waiting_request& aRequest) const
{
  const auto own = mCustomers.find(aRequest.request.customer);
  if (mEndedRequests < kMinEndedRequests || own == mCustomers.end()) {
    return {};
  }
  std::int64_t contending = std::max<std::int64_t>(1, own->second.weight);
  bool underShare = true;
  for (const auto& [name, customer] : mCustomers) {
    if (&customer == &own->second || customer.queue.empty()) {
      continue;
    }
    contending += customer.weight;
    underShare = underShare && UsePerWeight(own->second) < UsePerWeight(customer);
  }
  const waiting_queue& queue = own->second.queue;
  const auto ahead = std::distance(queue.begin(), queue.lower_bound(aRequest)) + 1;
  const double part = underShare
                        ? 1.0
                        : static_cast<double>(std::max<std::int64_t>(1, own->second.weight)) /
                            static_cast<double>(contending);
  const double running = static_cast<double>(std::max<std::size_t>(1, mRunning.size()));
  const double waitMs = static_cast<double>(ahead) * mSmoothedRunMs / (running * part);
  return { static_cast<std::int64_t>(std::min(waitMs, static_cast<double>(INT32_MAX))) };
}

void
admission::Apply(const peers::customer_load_message& aShare, time_point aNow)
{
  if (aShare.service != mService || aShare.router == mSelf) {
    return;
  }
  remote_router& router = mRemoteRouters[aShare.router];
  remote_customer_use& use = router.customers[aShare.customer];
  const time_point reportedAt = aNow - aShare.age;
  if (reportedAt < use.reportedAt) {
    return;
  }
  use = { aShare.running, reportedAt };
  router.lastShareAt = std::max(router.lastShareAt, reportedAt);
}

void
admission::UpdateRemoteUse(time_point aNow)
{
  std::erase_if(mRemoteRouters, [&](const auto& aEntry) {
    return aEntry.second.lastShareAt + kRouterLifetime <= aNow;
  });
  for (auto& [name, customer] : mCustomers) {
    customer.runningElsewhere = 0;
  }
  for (const auto& [id, router] : mRemoteRouters) {
    if (router.lastShareAt + kShareLifetime <= aNow) {
      continue;
    }
    for (const auto& [name, use] : router.customers) {
      const auto customer = mCustomers.find(name);
      if (customer != mCustomers.end()) {
        customer->second.runningElsewhere += use.running;
      }
    }
  }
}

void
admission::SetObservedLoad(std::uint64_t aRequests, time_point aNow)
{
  const auto all = static_cast<std::int64_t>(aRequests);
  mObservedElsewhere = std::max<std::int64_t>(0, all - static_cast<std::int64_t>(mRunning.size()));
  mObservedAt = aNow;
}

std::int64_t
admission::UseElsewhere(std::size_t aRouters, time_point aNow) const
{
  std::int64_t reportedRunning = 0;
  std::size_t silent = aRouters - 1;
  for (const auto& [id, router] : mRemoteRouters) {
    if (router.lastShareAt + kShareLifetime <= aNow) {
      continue;
    }
    --silent;
    for (const auto& [name, use] : router.customers) {
      reportedRunning += use.running;
    }
  }
  std::int64_t assumedRunning =
    static_cast<std::int64_t>(silent) * DivideRoundingUp(Capacity(), aRouters);
  if (mObservedAt.ms != INT64_MIN && aNow < mObservedAt + kObservedLoadLifetime) {
    assumedRunning =
      std::min(assumedRunning, std::max<std::int64_t>(0, mObservedElsewhere - reportedRunning));
  }
  return reportedRunning + assumedRunning;
}

void
admission::UpdateLimit(time_point aNow)
{
  const std::size_t routers = std::max(mRouterCount, mRemoteRouters.size() + 1);
  const auto own = static_cast<std::int64_t>(mRunning.size());
  const std::int64_t idle =
    static_cast<std::int64_t>(Capacity()) - UseElsewhere(routers, aNow) - own;
  const std::int64_t borrowed = own + idle / static_cast<std::int64_t>(routers);
  mLimit = static_cast<std::size_t>(
    std::max<std::int64_t>(DivideRoundingUp(Capacity(), routers), borrowed));
  mLimitUpdatedAt = aNow;
}

std::vector<peers::customer_load_message>
admission::LocalShares() const
{
  std::vector<peers::customer_load_message> shares;
  for (const auto& [name, customer] : mCustomers) {
    peers::customer_load_message share;
    share.router = mSelf;
    share.service = mService;
    share.customer = name;
    share.running = customer.running;
    share.waiting = static_cast<std::uint32_t>(customer.queue.size());
    shares.push_back(share);
  }
  return shares;
}

} // namespace persimmon::routing
