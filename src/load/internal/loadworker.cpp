#include "load/internal/loadworker.h"

#include "history/digest.h"

#include <algorithm>

namespace persimmon::load {
namespace {

constexpr int kLongestPollMs = 50;

std::string
AddressOf(const std::string& aRouter)
{
  const std::size_t scheme = aRouter.find("://");
  return scheme == std::string::npos ? aRouter : aRouter.substr(scheme + 3);
}

} // namespace

load_worker::load_worker(const load_options& aOptions,
                         history::history_writer& aHistory,
                         std::size_t aIndex,
                         time_point aEpochStart)
  : mOptions(aOptions)
  , mHistory(aHistory)
  , mPlanner(aOptions.mix, aOptions.seed, aEpochStart, aIndex, aOptions.threads)
  , mMulti(curl_multi_init())
{
}

load_worker::~load_worker()
{
  Join();
  curl_multi_cleanup(mMulti);
}

void
load_worker::Start(time_point aStart)
{
  mStart = aStart;
  mRunning = true;
  mThread = std::thread([this] { Run(); });
}

void
load_worker::Join()
{
  if (mThread.joinable()) {
    mThread.join();
  }
}

load_statistics
load_worker::Statistics() const
{
  const std::lock_guard lock(mMutex);
  return mStatistics;
}

void
load_worker::Run()
{
  mNext = mPlanner.Next();
  while (mNext || !mOpen.empty() || !mWaiting.empty()) {
    const time_point now = steady_clock().Now();
    SendDue(now);
    ResendDue(now);
    LeaveDue(now);
    int running = 0;
    curl_multi_perform(mMulti, &running);
    TakeFinished();
    curl_multi_poll(mMulti, nullptr, 0, WaitMs(steady_clock().Now()), nullptr);
  }
  mRunning = false;
}

int
load_worker::WaitMs(time_point aNow) const
{
  time_point until = aNow + duration{ kLongestPollMs };
  if (mNext) {
    until = std::min(until, mStart + mNext->after);
  }
  for (const waiting_call& waiting : mWaiting) {
    until = std::min(until, waiting.at);
  }
  return static_cast<int>(std::max<std::int64_t>(0, (until - aNow).ms));
}

void
load_worker::SendDue(time_point aNow)
{
  while (mNext && mStart + mNext->after <= aNow) {
    auto call = std::make_unique<open_call>();
    call->intended = mStart + mNext->after;
    call->router = mNext->number % mOptions.routers.size();
    call->plan = std::move(*mNext);
    {
      const std::lock_guard lock(mMutex);
      ++mStatistics.sent;
    }
    Send(std::move(call));
    mNext = mPlanner.Next();
  }
}

void
load_worker::ResendDue(time_point aNow)
{
  std::vector<waiting_call> due;
  const auto isDue = [aNow](const waiting_call& aWaiting) { return aWaiting.at <= aNow; };
  const auto later = std::stable_partition(mWaiting.begin(), mWaiting.end(), isDue);
  std::move(mWaiting.begin(), later, std::back_inserter(due));
  mWaiting.erase(mWaiting.begin(), later);
  for (waiting_call& waiting : due) {
    Send(std::move(waiting.call));
  }
}

void
load_worker::Send(std::unique_ptr<open_call> aCall)
{
  const std::string& router = mOptions.routers[aCall->router];
  auto sending = std::make_unique<exchange>(std::move(aCall), router);
  RecordSent(*sending, router);
  CURL* handle = sending->Handle();
  mOpen.emplace(handle, std::move(sending));
  curl_multi_add_handle(mMulti, handle);
}

void
load_worker::TakeFinished()
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* handle = message->easy_handle;
    const CURLcode code = message->data.result;
    End(handle, mOpen.at(handle)->Result(code));
  }
}

void
load_worker::LeaveDue(time_point aNow)
{
  std::vector<CURL*> due;
  for (const auto& [handle, open] : mOpen) {
    if (open->LeaveAt() && *open->LeaveAt() <= aNow) {
      due.push_back(handle);
    }
  }
  for (CURL* handle : due) {
    End(handle, mOpen.at(handle)->LeftResult());
  }
}

void
load_worker::End(CURL* aHandle, const exchange_result& aResult)
{
  curl_multi_remove_handle(mMulti, aHandle);
  const std::unique_ptr<exchange> ended = std::move(mOpen.extract(aHandle).mapped());
  RecordEnd(*ended, aResult);
  std::unique_ptr<open_call> call = ended->TakeCall();
  AddTokens(*ended, *call);
  if (aResult.refusal == kNotSent) {
    ++call->counts.notSent;
  }
  const auto wait = ResendWait(call->plan, aResult, call->counts, mOptions.routers.size());
  const time_point now = steady_clock().Now();
  if (aResult.answered && !call->answer) {
    call->answer = aResult;
    call->answeredAt = now;
  }
  if (!wait) {
    Conclude(*call, call->answer.value_or(aResult));
    return;
  }
  call->counts.duplicated = call->answer.has_value();
  ++call->counts.sent;
  call->router = (call->router + 1) % mOptions.routers.size();
  mWaiting.push_back({ now + *wait, std::move(call) });
}

void
load_worker::AddTokens(exchange& aExchange, open_call& aCall)
{
  const std::vector<time_point>& times = aExchange.TokenTimes();
  if (times.empty()) {
    return;
  }
  aCall.firstToken = aCall.firstToken.value_or(times.front());
  aCall.tokens += times.size();
  const std::lock_guard lock(mMutex);
  for (std::size_t index = 1; index < times.size(); ++index) {
    mStatistics.betweenTokens.Add(times[index] - times[index - 1]);
  }
}

void
load_worker::Conclude(const open_call& aCall, const exchange_result& aResult)
{
  call_result result;
  result.service = aCall.plan.service;
  result.streamed = aCall.plan.streamed;
  result.answered = aResult.answered;
  result.refusal = aResult.refusal;
  result.after = aCall.plan.after;
  result.tokens = aCall.tokens;
  result.resends = aCall.counts.sent - 1;
  result.whole = aCall.answeredAt.value_or(steady_clock().Now()) - aCall.intended;
  if (aCall.firstToken) {
    result.firstToken = *aCall.firstToken - aCall.intended;
  }
  const std::lock_guard lock(mMutex);
  mStatistics.Add(result);
}

void
load_worker::RecordSent(const exchange& aExchange, const std::string& aRouter)
{
  const planned_call& plan = aExchange.Call().plan;
  history::event invoked;
  invoked.kind = history::event_kind::invoked;
  invoked.call = aExchange.CallId();
  invoked.key = plan.key ? plan.key->value : "";
  invoked.service = plan.service.value;
  invoked.customer = plan.customer.value;
  invoked.once = plan.key.has_value();
  invoked.streamed = plan.streamed;
  invoked.digest = history::DigestOf(plan.body);
  invoked.instance = AddressOf(aRouter);
  mHistory.Write(std::move(invoked));
}

void
load_worker::RecordEnd(const exchange& aExchange, const exchange_result& aResult)
{
  const planned_call& plan = aExchange.Call().plan;
  history::event ended;
  ended.kind = aResult.answered ? history::event_kind::answered : history::event_kind::refused;
  ended.call = aExchange.CallId();
  ended.request = aResult.request;
  ended.key = plan.key ? plan.key->value : "";
  ended.service = plan.service.value;
  ended.status = aResult.status;
  ended.ran = aResult.ran;
  ended.attemptRan = aResult.attemptRan;
  ended.digest = aResult.digest;
  ended.detail = aResult.refusal;
  mHistory.Write(std::move(ended));
}

} // namespace persimmon::load
