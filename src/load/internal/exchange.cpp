#include "load/internal/exchange.h"

#include "base/headerlookup.h"
#include "base/json.h"
#include "base/text.h"
#include "history/digest.h"

#include <fmt/format.h>

namespace persimmon::load {
namespace {

/// Added to the deadline that the call carries before the caller itself gives up.
constexpr duration kPatience{ 5000 };
constexpr int kOk = 200;
constexpr std::string_view kProblemType = "application/problem+json";
constexpr std::string_view kStreamType = "text/event-stream";

} // namespace

exchange::exchange(std::unique_ptr<open_call> aCall, const std::string& aRouter)
  : mCall(std::move(aCall))
  , mHandle(curl_easy_init())
{
  if (mCall->plan.leaveAfter) {
    mLeaveAt = steady_clock().Now() + *mCall->plan.leaveAfter;
  }
  SetHeaders();
  SetTransport(aRouter);
}

exchange::~exchange()
{
  curl_easy_cleanup(mHandle);
  curl_slist_free_all(mHeaders);
}

std::string
exchange::CallId() const
{
  return fmt::format("{}.{}", mCall->plan.number, mCall->counts.sent);
}

void
exchange::SetHeaders()
{
  const planned_call& plan = mCall->plan;
  const auto add = [this](const std::string& aLine) {
    mHeaders = curl_slist_append(mHeaders, aLine.c_str());
  };
  add("Expect:");
  add("Authorization: Bearer " + plan.customerKey);
  add(fmt::format("Priority: u={}", plan.priority));
  add(fmt::format("Persimmon-Deadline-Ms: {}", plan.deadline.ms));
  if (!plan.body.empty()) {
    add("Content-Type: application/json");
  }
  if (plan.key) {
    add("Idempotency-Key: " + plan.key->value);
  }
}

void
exchange::SetTransport(const std::string& aRouter)
{
  const planned_call& plan = mCall->plan;
  const duration bound = plan.deadline + kPatience;
  curl_easy_setopt(mHandle, CURLOPT_URL, (aRouter + plan.path).c_str());
  curl_easy_setopt(mHandle, CURLOPT_CUSTOMREQUEST, plan.method.c_str());
  curl_easy_setopt(mHandle, CURLOPT_HTTPHEADER, mHeaders);
  curl_easy_setopt(mHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(mHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(mHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(bound.ms));
  curl_easy_setopt(mHandle, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(mHandle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(mHandle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(mHandle, CURLOPT_PRIVATE, this);
  if (!plan.body.empty()) {
    curl_easy_setopt(mHandle, CURLOPT_POSTFIELDS, plan.body.data());
    curl_easy_setopt(
      mHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(plan.body.size()));
  }
  if (plan.key) {
    // On a reused connection libcurl could send the call twice without telling.
    curl_easy_setopt(mHandle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(mHandle, CURLOPT_FORBID_REUSE, 1L);
  }
}

std::size_t
exchange::OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<exchange*>(aSelf);
  const bool wasComplete = self.mHead.IsComplete();
  if (!self.mHead.Add({ aData, aSize * aCount })) {
    return 0;
  }
  if (self.mHead.IsComplete() && !wasComplete) {
    self.TakeHead();
  }
  return aSize * aCount;
}

void
exchange::TakeHead()
{
  mRequest = FindHeader(mHead.Headers(), "Persimmon-Request");
  mContentType = LowerCase(FindHeader(mHead.Headers(), "Content-Type"));
}

std::size_t
exchange::OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<exchange*>(aSelf);
  if (!self.mHead.IsComplete()) {
    return 0;
  }
  const std::string_view bytes(aData, aSize * aCount);
  if (!self.mContentType.starts_with(kStreamType)) {
    self.mBody.append(bytes);
    return bytes.size();
  }
  const std::size_t tokens = self.mStream.Feed(bytes);
  self.mTokenTimes.insert(self.mTokenTimes.end(), tokens, steady_clock().Now());
  return bytes.size();
}

exchange_result
exchange::Result(CURLcode aCode) const
{
  if (!mStream.ErrorData().empty()) {
    return BrokenStream();
  }
  // libcurl reports success when a connection ends within the head.
  if (aCode != CURLE_OK || !mHead.IsComplete()) {
    return Failure(aCode);
  }
  if (mContentType.starts_with(kProblemType)) {
    return Refusal(mBody);
  }
  exchange_result result;
  result.status = Status();
  result.request = mRequest;
  const auto digest = AnswerDigest();
  if (digest) {
    result.answered = true;
    result.digest = *digest;
  } else {
    result.refusal = result.status == kOk ? kUnfinished : fmt::format("status_{}", result.status);
  }
  return result;
}

exchange_result
exchange::LeftResult() const
{
  exchange_result result;
  result.request = mRequest;
  result.refusal = kLeft;
  return result;
}

exchange_result
exchange::Failure(CURLcode aCode) const
{
  exchange_result result;
  result.status = Status();
  result.request = mRequest;
  long sent = 0;
  curl_easy_getinfo(mHandle, CURLINFO_REQUEST_SIZE, &sent);
  if (aCode == CURLE_COULDNT_CONNECT || sent == 0) {
    result.refusal = kNotSent;
  } else if (aCode == CURLE_OPERATION_TIMEDOUT) {
    result.refusal = kTimeout;
  } else {
    const bool hasBegun = mHead.IsComplete() || !mHead.Fault().empty();
    result.refusal = hasBegun ? kUnfinished : kNoAnswer;
  }
  return result;
}

exchange_result
exchange::BrokenStream() const
{
  exchange_result result = Refusal(mStream.ErrorData());
  result.refusal = kUnfinished;
  return result;
}

exchange_result
exchange::Refusal(const std::string& aProblem) const
{
  exchange_result result;
  result.status = Status();
  result.request = mRequest;
  json_problem problem;
  const auto body = ParseJson(aProblem, problem);
  if (!body) {
    result.refusal = kUnfinished;
    return result;
  }
  json_reader reader(*body, "$", problem);
  result.refusal = reader.TextOr("reason", "unnamed");
  result.ran = reader.TextOr("ran", "");
  result.attemptRan = reader.TextOr("attempt_ran", "");
  return result;
}

std::optional<std::string>
exchange::AnswerDigest() const
{
  if (mCall->plan.plain) {
    return history::DigestOf(mBody);
  }
  if (mContentType.starts_with(kStreamType)) {
    return mStream.IsWhole() ? std::optional(history::DigestOf(mStream.Text())) : std::nullopt;
  }
  const auto text = ModelAnswerText(mBody);
  return text ? std::optional(history::DigestOf(*text)) : std::nullopt;
}

} // namespace persimmon::load
