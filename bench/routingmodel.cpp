#include "routingmodel.h"

#include "base/hash.h"
#include "base/random.h"
#include "routing/admission.h"
#include "routing/clusterview.h"
#include "routing/retrydecision.h"
#include "routing/upstreamchooser.h"
#include "routingmodelgroup.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <optional>
#include <queue>
#include <tuple>

namespace persimmon::bench {
namespace {

constexpr duration kTickEvery = 100_ms;
constexpr duration kShareEvery = 500_ms;
constexpr duration kProgressEvery = 500_ms;
constexpr duration kChooseAgainAfter = 50_ms;
/// Part of the time per token that a group takes when it runs a single request.
constexpr double kIdleSpeed = 0.6;
/// Prefixes are drawn with this skew: some are common, most are rare.
constexpr double kPrefixSkew = 2.0;
constexpr const char* kService = "model";

enum class step_kind
{
  arrival,
  dispatch,
  first_token,
  progress,
  finish,
  fail,
  deadline,
  tick,
  share,
  observe,
  report,
  fault_begins,
  fault_ends
};

struct step
{
  time_point at;
  std::uint64_t order = 0;
  step_kind kind = step_kind::tick;
  std::size_t subject = 0;
};

struct runs_later
{
  bool operator()(const step& aLeft, const step& aRight) const
  {
    return std::tie(aLeft.at, aLeft.order) > std::tie(aRight.at, aRight.order);
  }
};

struct model_request
{
  std::size_t router = 0;
  std::size_t customer = 0;
  time_point arrivedAt;
  std::uint64_t prefix = 0;
  std::uint32_t tokens = 0;
  std::uint32_t attempts = 0;
  std::optional<std::size_t> current;
  std::vector<upstream_id> tried;
  bool admitted = false;
  bool done = false;
  model_ending ending = model_ending::expired;
  duration latency{};
};

struct model_attempt
{
  std::size_t request = 0;
  std::size_t group = 0;
  routing::dispatch_ticket ticket;
  bool over = false;
  time_point firstTokenAt{};
  double msPerToken = 0;
};

template<typename Policy>
struct model_router
{
  model_router(const std::string& aName, const zone_name& aZone, const model_options& aOptions)
    : chooser(aZone, aOptions.seed + HashText(aName))
    , budget(aOptions.retryPercent)
    , gate({ aName }, { kService })
  {
  }

  routing::basic_upstream_chooser<Policy> chooser;
  routing::retry_budget budget;
  routing::admission gate;
  std::deque<std::size_t> fifo;
  std::size_t fifoRunning = 0;
};

template<typename Policy>
class routing_model
{
public:
  explicit routing_model(const model_options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mGroups(aOptions.groups)
  {
  }

  model_result Run()
  {
    Prepare();
    while (!mSteps.empty() && mSteps.top().at < mOptions.end + mOptions.deadline) {
      const step current = mSteps.top();
      mSteps.pop();
      mNow = current.at;
      Do(current);
    }
    return Collect();
  }

private:
  void Schedule(time_point aAt, step_kind aKind, std::size_t aSubject = 0)
  {
    mSteps.push({ aAt, mOrder++, aKind, aSubject });
  }

  void Prepare()
  {
    PrepareCandidates();
    for (std::size_t number = 0; number < mOptions.routers; ++number) {
      const zone_name zone{ fmt::format("z{}", number % mOptions.zones) };
      mRouters.emplace_back(fmt::format("r{}", number), zone, mOptions);
      mRouters.back().chooser.Pool().SetRouterCount(mOptions.routers);
      mRouters.back().chooser.Pool().Update(mCandidates, mNow);
      mRouters.back().gate.SetDocument(Document());
      mRouters.back().gate.SetRouterCount(mOptions.routers);
      mRouters.back().gate.SetUpstreams(mOptions.groups, mNow);
    }
    mNextArrivalMs.resize(mOptions.customers.size());
    for (std::size_t number = 0; number < mOptions.customers.size(); ++number) {
      ScheduleArrival(number);
    }
    for (std::size_t number = 0; number < mOptions.faults.size(); ++number) {
      Schedule(mOptions.faults[number].from, step_kind::fault_begins, number);
      Schedule(mOptions.faults[number].to, step_kind::fault_ends, number);
    }
    Schedule(mNow, step_kind::tick);
    Schedule(mNow, step_kind::share);
    Schedule(mNow, step_kind::observe);
  }

  void PrepareCandidates()
  {
    for (std::size_t number = 0; number < mOptions.groups; ++number) {
      auto target = std::make_shared<routing::upstream>();
      target->id.value = fmt::format("g{}", number);
      target->zone.value = fmt::format("z{}", number % mOptions.zones);
      routing::candidate entry;
      entry.target = std::move(target);
      entry.evidenceExpiresAt = mNow + mOptions.reportLag + routing::kEvidenceLifetime;
      mCandidates.push_back(std::move(entry));
    }
  }

  [[nodiscard]] service_document Document() const
  {
    service_document document;
    document.service.value = kService;
    document.limits.concurrencyPerUpstream = static_cast<std::int64_t>(mOptions.slotsPerGroup);
    document.limits.maxQueued = mOptions.queuePerRouter;
    for (const model_customer& customer : mOptions.customers) {
      document.customers.push_back({ { customer.name }, "", customer.weight });
    }
    return document;
  }

  void Do(const step& aStep)
  {
    switch (aStep.kind) {
      case step_kind::arrival:
        return Arrive(aStep.subject);
      case step_kind::dispatch:
        return Dispatch(aStep.subject);
      case step_kind::first_token:
        return FirstToken(aStep.subject);
      case step_kind::progress:
        return Progress(aStep.subject);
      case step_kind::finish:
        return Finish(aStep.subject);
      case step_kind::fail:
        return Fail(aStep.subject);
      case step_kind::deadline:
        return Expire(aStep.subject);
      case step_kind::tick:
        return Tick();
      case step_kind::share:
        return Share();
      case step_kind::observe:
        return Observe();
      case step_kind::report:
        return Report(aStep.subject);
      case step_kind::fault_begins:
        return SetFault(mOptions.faults[aStep.subject], true);
      case step_kind::fault_ends:
        return SetFault(mOptions.faults[aStep.subject], false);
    }
  }

  void ScheduleArrival(std::size_t aCustomer)
  {
    const double rate = mOptions.customers[aCustomer].requestsPerSecond;
    mNextArrivalMs[aCustomer] -= std::log(1 - mRandom.NextDouble()) / rate * 1000;
    const time_point at{ static_cast<std::int64_t>(std::lround(mNextArrivalMs[aCustomer])) };
    if (at < mOptions.end) {
      Schedule(at, step_kind::arrival, aCustomer);
    }
  }

  void Arrive(std::size_t aCustomer)
  {
    model_request request;
    request.router = mRandom.Below(mOptions.routers);
    request.customer = aCustomer;
    request.arrivedAt = mNow;
    const double drawn = std::pow(mRandom.NextDouble(), kPrefixSkew);
    request.prefix = 1 + static_cast<std::uint64_t>(drawn * static_cast<double>(mOptions.prefixes));
    const std::uint32_t span = mOptions.maxTokens - mOptions.minTokens + 1;
    request.tokens = mOptions.minTokens + static_cast<std::uint32_t>(mRandom.Below(span));
    const std::size_t number = mRequests.size();
    mRequests.push_back(std::move(request));
    Schedule(mNow + mOptions.deadline, step_kind::deadline, number);
    Admit(number);
    ScheduleArrival(aCustomer);
  }

  void Admit(std::size_t aRequest)
  {
    model_request& request = mRequests[aRequest];
    model_router<Policy>& router = mRouters[request.router];
    switch (mOptions.admission) {
      case model_admission::open:
        return Begin(aRequest);
      case model_admission::fair:
        return Carry(router.gate.Submit({ { fmt::format("{}", aRequest) },
                                          { mOptions.customers[request.customer].name },
                                          routing::kDefaultPriority,
                                          mNow + mOptions.deadline },
                                        mNow));
      case model_admission::fifo:
        router.fifo.push_back(aRequest);
        StartFifo(router);
        if (router.fifo.size() > static_cast<std::size_t>(mOptions.queuePerRouter)) {
          router.fifo.pop_back();
          End(aRequest, model_ending::refused);
        }
        return;
    }
  }

  void StartFifo(model_router<Policy>& aRouter)
  {
    const std::size_t part = mOptions.groups * mOptions.slotsPerGroup / mOptions.routers;
    while (!aRouter.fifo.empty() && aRouter.fifoRunning < part) {
      const std::size_t next = aRouter.fifo.front();
      aRouter.fifo.pop_front();
      if (!mRequests[next].done) {
        ++aRouter.fifoRunning;
        Begin(next);
      }
    }
  }

  void Carry(const std::vector<routing::admission_action>& aActions)
  {
    for (const routing::admission_action& action : aActions) {
      const std::size_t request = std::stoul(action.request.value);
      if (action.verdict == routing::admission_verdict::start) {
        Begin(request);
      } else {
        End(request, model_ending::refused);
      }
    }
  }

  void Begin(std::size_t aRequest)
  {
    mRequests[aRequest].admitted = true;
    mRouters[mRequests[aRequest].router].budget.OnFirstAttempt(mNow);
    Dispatch(aRequest);
  }

  void Dispatch(std::size_t aRequest)
  {
    model_request& request = mRequests[aRequest];
    if (request.done) {
      return;
    }
    auto& chooser = mRouters[request.router].chooser;
    const routing::upstream_choice choice =
      chooser.Choose({ request.prefix, request.tried, request.attempts == 0 }, mNow);
    if (!choice.target) {
      Schedule(mNow + kChooseAgainAfter, step_kind::dispatch, aRequest);
      return;
    }
    const std::size_t number = mAttempts.size();
    mAttempts.push_back({ aRequest, choice.slot, chooser.Pool().Start(choice.slot, mNow) });
    ++request.attempts;
    request.current = number;
    request.tried.push_back(choice.target->id);
    Enter(number);
  }

  void Enter(std::size_t aAttempt)
  {
    model_group& group = mGroups[mAttempts[aAttempt].group];
    if (group.dark) {
      Schedule(mNow + mOptions.silenceTimeout, step_kind::fail, aAttempt);
    }
    group.queue.push_back(aAttempt);
    RunQueued(mAttempts[aAttempt].group);
  }

  void RunQueued(std::size_t aGroup)
  {
    model_group& group = mGroups[aGroup];
    while (!group.dark && !group.queue.empty() && group.running.size() < mOptions.slotsPerGroup) {
      const std::size_t attempt = group.queue.front();
      group.queue.pop_front();
      group.running.push_back(attempt);
      Process(group, attempt);
    }
  }

  void Process(model_group& aGroup, std::size_t aAttempt)
  {
    const model_request& request = mRequests[mAttempts[aAttempt].request];
    const bool kept = aGroup.UsePrefix(request.prefix, mOptions.prefixesKept);
    const duration prefill = kept ? mOptions.cachedPrefill : mOptions.prefill;
    const double fill =
      static_cast<double>(aGroup.running.size()) / static_cast<double>(mOptions.slotsPerGroup);
    const double speed = kIdleSpeed + (1 - kIdleSpeed) * fill;
    const double firstMs = static_cast<double>(prefill.ms) * aGroup.slowness;
    const double tokensMs =
      static_cast<double>(mOptions.perToken.ms) * request.tokens * speed * aGroup.slowness;
    mAttempts[aAttempt].msPerToken = tokensMs / request.tokens;
    const bool fails = aGroup.failing > 0 && mRandom.Chance(aGroup.failing);
    const double wholeMs = firstMs + tokensMs;
    Schedule(After(firstMs), step_kind::first_token, aAttempt);
    Schedule(After(wholeMs), fails ? step_kind::fail : step_kind::finish, aAttempt);
  }

  [[nodiscard]] time_point After(double aMs) const
  {
    return mNow + duration{ static_cast<std::int64_t>(std::lround(aMs)) };
  }

  routing::upstream_pool& PoolOf(const model_attempt& aAttempt)
  {
    return mRouters[mRequests[aAttempt.request].router].chooser.Pool();
  }

  void FirstToken(std::size_t aAttempt)
  {
    model_attempt& attempt = mAttempts[aAttempt];
    if (!attempt.over && !mGroups[attempt.group].dark) {
      attempt.firstTokenAt = mNow;
      PoolOf(attempt).RecordProgress(attempt.ticket, 0, mNow);
      Schedule(mNow + kProgressEvery, step_kind::progress, aAttempt);
    }
  }

  void Progress(std::size_t aAttempt)
  {
    const model_attempt& attempt = mAttempts[aAttempt];
    if (!attempt.over && !mGroups[attempt.group].dark) {
      const auto ran = static_cast<double>((mNow - attempt.firstTokenAt).ms);
      const auto tokens = static_cast<std::uint32_t>(ran / attempt.msPerToken);
      PoolOf(attempt).RecordProgress(attempt.ticket, tokens, mNow);
      Schedule(mNow + kProgressEvery, step_kind::progress, aAttempt);
    }
  }

  /// Takes an attempt off its group; false when it had been already.
  bool Close(std::size_t aAttempt, routing::attempt_outcome aOutcome)
  {
    model_attempt& attempt = mAttempts[aAttempt];
    if (attempt.over) {
      return false;
    }
    attempt.over = true;
    model_group& group = mGroups[attempt.group];
    std::erase(group.running, aAttempt);
    std::erase(group.queue, aAttempt);
    PoolOf(attempt).Finish(attempt.ticket, { aOutcome, mRequests[attempt.request].tokens }, mNow);
    RunQueued(attempt.group);
    return true;
  }

  void Finish(std::size_t aAttempt)
  {
    if (mGroups[mAttempts[aAttempt].group].dark) {
      return;
    }
    if (Close(aAttempt, routing::attempt_outcome::completed)) {
      End(mAttempts[aAttempt].request, model_ending::answered);
    }
  }

  void Fail(std::size_t aAttempt)
  {
    if (!Close(aAttempt, routing::attempt_outcome::failed)) {
      return;
    }
    const std::size_t number = mAttempts[aAttempt].request;
    if (MayRetry(mRequests[number])) {
      Dispatch(number);
    } else {
      End(number, model_ending::failed);
    }
  }

  bool MayRetry(const model_request& aRequest)
  {
    switch (mOptions.retries) {
      case model_retries::never:
        return false;
      case model_retries::always:
        return aRequest.attempts < kMaxModelAttempts;
      case model_retries::budget:
        break;
    }
    routing::failed_attempt failed;
    failed.attempts = aRequest.attempts;
    failed.idempotent = true;
    failed.deadline = aRequest.arrivedAt + mOptions.deadline;
    failed.expectedTimeToFirstByte = mOptions.prefill;
    const auto verdict = routing::DecideRetry(failed, mRouters[aRequest.router].budget, mNow);
    return verdict == routing::retry_verdict::repeat;
  }

  void Expire(std::size_t aRequest)
  {
    model_request& request = mRequests[aRequest];
    if (request.done) {
      return;
    }
    if (request.current) {
      Close(*request.current, routing::attempt_outcome::cancelled);
    }
    End(aRequest, model_ending::expired);
  }

  void End(std::size_t aRequest, model_ending aEnding)
  {
    model_request& request = mRequests[aRequest];
    request.done = true;
    request.ending = aEnding;
    request.latency =
      aEnding == model_ending::answered ? mNow - request.arrivedAt : mOptions.deadline;
    model_router<Policy>& router = mRouters[request.router];
    if (mOptions.admission == model_admission::fair) {
      Carry(router.gate.Cancel({ fmt::format("{}", aRequest) }, mNow));
    } else if (mOptions.admission == model_admission::fifo && request.admitted) {
      --router.fifoRunning;
      StartFifo(router);
    }
  }

  void Tick()
  {
    for (model_router<Policy>& router : mRouters) {
      router.chooser.Pool().UpdateHealth(mNow);
      router.gate.SetObservedLoad(ReportedLoad(), mNow);
      Carry(router.gate.Tick(mNow));
    }
    if (mNow < mOptions.end + mOptions.deadline) {
      Schedule(mNow + kTickEvery, step_kind::tick);
    }
  }

  [[nodiscard]] std::uint64_t ReportedLoad() const
  {
    std::uint64_t sum = 0;
    for (const routing::candidate& current : mCandidates) {
      sum += current.load.running + current.load.queued;
    }
    return sum;
  }

  void Share()
  {
    if (mNow >= mOptions.sharesStop) {
      return;
    }
    for (const model_router<Policy>& from : mRouters) {
      for (const peers::customer_load_message& share : from.gate.LocalShares()) {
        for (model_router<Policy>& to : mRouters) {
          to.gate.Apply(share, mNow);
        }
      }
    }
    Schedule(mNow + kShareEvery, step_kind::share);
  }

  void Observe()
  {
    std::vector<routing::load_report> reports;
    for (std::size_t number = 0; number < mGroups.size(); ++number) {
      const model_group& group = mGroups[number];
      const auto running = static_cast<std::uint32_t>(group.running.size());
      const auto queued = static_cast<std::uint32_t>(group.queue.size());
      reports.push_back(group.dark ? mCandidates[number].load
                                   : routing::load_report{ running, queued, mNow });
    }
    Schedule(mNow + mOptions.reportLag, step_kind::report, mReports.size());
    mReports.push_back(std::move(reports));
    Schedule(mNow + mOptions.reportEvery, step_kind::observe);
  }

  void Report(std::size_t aNumber)
  {
    for (std::size_t number = 0; number < mCandidates.size(); ++number) {
      mCandidates[number].load = mReports[aNumber][number];
      if (!mGroups[number].dark) {
        mCandidates[number].evidenceExpiresAt = mNow + routing::kEvidenceLifetime;
      }
    }
    mReports[aNumber] = {};
    for (model_router<Policy>& router : mRouters) {
      router.chooser.Pool().Update(mCandidates, mNow);
    }
  }

  void SetFault(const model_fault& aFault, bool aBegins)
  {
    model_group& group = mGroups[aFault.group];
    switch (aFault.what) {
      case model_fault::effect::slow:
        group.slowness = aBegins ? aFault.amount : 1;
        return;
      case model_fault::effect::failing:
        group.failing = aBegins ? aFault.amount : 0;
        return;
      case model_fault::effect::dark:
        group.dark = aBegins;
        break;
    }
    std::vector<std::size_t> aboard = group.running;
    aboard.insert(aboard.end(), group.queue.begin(), group.queue.end());
    for (const std::size_t attempt : aboard) {
      // What was aboard is lost; the routers find out when nothing more comes.
      Schedule(mNow + (aBegins ? mOptions.silenceTimeout : duration{}), step_kind::fail, attempt);
    }
  }

  model_result Collect()
  {
    model_result result;
    for (const model_request& request : mRequests) {
      if (request.arrivedAt >= mOptions.warmUp) {
        result.attempts += request.attempts;
        result.requests.push_back({ request.customer,
                                    request.arrivedAt,
                                    request.ending,
                                    request.done ? request.latency : mOptions.deadline });
      }
    }
    return result;
  }

  const model_options& mOptions;
  random_source mRandom;
  time_point mNow{ 0 };
  std::uint64_t mOrder = 0;
  std::priority_queue<step, std::vector<step>, runs_later> mSteps;
  /// Not rounded, since many arrivals may fall into one millisecond.
  std::vector<double> mNextArrivalMs;
  std::vector<model_group> mGroups;
  std::vector<routing::candidate> mCandidates;
  std::vector<model_router<Policy>> mRouters;
  std::vector<model_request> mRequests;
  std::vector<model_attempt> mAttempts;
  std::vector<std::vector<routing::load_report>> mReports;
};

} // namespace

model_result
RunModel(const model_options& aOptions)
{
  switch (aOptions.policy) {
    case model_policy::balanced:
      return routing_model<routing::balanced_choice>(aOptions).Run();
    case model_policy::random:
      return routing_model<routing::random_choice>(aOptions).Run();
    case model_policy::round_robin:
      return routing_model<routing::round_robin_choice>(aOptions).Run();
    case model_policy::least_reported_load:
      return routing_model<routing::least_reported_load_choice>(aOptions).Run();
  }
  return {};
}

} // namespace persimmon::bench
