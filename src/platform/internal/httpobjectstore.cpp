#include "platform/httpobjectstore.h"

#include "platform/httpclient.h"

#include <charconv>
#include <fmt/format.h>

namespace persimmon::platform {
namespace {

/// Added to the time that a watch waits, for the response to arrive.
constexpr duration kWatchTimeoutMargin{ 2000 };
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

std::string
RenderETag(revision aRevision)
{
  return fmt::format("\"{}\"", aRevision.value);
}

/// Parses a revision in double quotes; nothing when the tag has any other form.
std::optional<revision>
ParseETag(const std::string& aETag)
{
  if (aETag.size() < 3 || aETag.front() != '"' || aETag.back() != '"') {
    return std::nullopt;
  }
  revision parsed;
  const char* end = aETag.data() + aETag.size() - 1;
  const auto result = std::from_chars(aETag.data() + 1, end, parsed.value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return parsed;
}

store_error
ErrorFromStatus(int aStatus)
{
  switch (aStatus) {
    case kNotFound:
      return store_error::not_found;
    case kPreconditionFailed:
      return store_error::conflict;
    case kGone:
      return store_error::compacted;
    case kTooManyRequests:
      return store_error::rate_limited;
    case kServiceUnavailable:
      return store_error::unavailable;
    default:
      return store_error::bad_answer;
  }
}

bool
IsSuccess(int aStatus)
{
  return aStatus == kOk || aStatus == kCreated || aStatus == kNoContent;
}

} // namespace

const char*
StoreErrorName(store_error aError)
{
  switch (aError) {
    case store_error::none:
      return "none";
    case store_error::not_found:
      return "not_found";
    case store_error::conflict:
      return "conflict";
    case store_error::unavailable:
      return "unavailable";
    case store_error::unknown_outcome:
      return "unknown_outcome";
    case store_error::rate_limited:
      return "rate_limited";
    case store_error::compacted:
      return "compacted";
    case store_error::bad_answer:
      return "bad_answer";
    case store_error::too_large:
      return "too_large";
  }
  return "unknown";
}

struct http_object_store::implementation
{
  std::string baseUrl;
  duration timeout;
  http_client client;
  store_failure failure;

  /// Returns a response with a status of success, or nothing with `failure` set. A write without a
  /// response has an unknown outcome if it can have reached the platform.
  std::optional<http_response> Call(const http_request& aRequest, bool aIsWrite)
  {
    auto response = client.Send(aRequest);
    if (!response) {
      const bool maybeWritten = aIsWrite && client.LastFailure() == http_failure::maybe_sent;
      failure = { maybeWritten ? store_error::unknown_outcome : store_error::unavailable,
                  client.LastFailureText() };
      return std::nullopt;
    }
    if (!IsSuccess(response->status)) {
      failure = { ErrorFromStatus(response->status), fmt::format("status {}", response->status) };
      return std::nullopt;
    }
    failure = {};
    return response;
  }

  http_request Request(std::string aMethod, const std::string& aPath) const
  {
    http_request request;
    request.method = std::move(aMethod);
    request.url = baseUrl + aPath;
    request.timeout = timeout;
    return request;
  }

  /// Returns the revision in the `ETag` header, or nothing with `failure` set.
  std::optional<revision> ParseRevision(const http_response& aResponse)
  {
    const auto parsed = ParseETag(aResponse.Header("ETag"));
    if (!parsed) {
      failure = { store_error::bad_answer, "response has no ETag header with a revision" };
    }
    return parsed;
  }

  /// As ParseRevision(), for the response to an accepted write: without a valid revision the
  /// outcome of the write is unknown.
  std::optional<revision> ParseWrittenRevision(const http_response& aResponse)
  {
    const auto parsed = ParseRevision(aResponse);
    if (!parsed) {
      failure.code = store_error::unknown_outcome;
    }
    return parsed;
  }

  std::optional<nlohmann::json> ParseBody(const http_response& aResponse)
  {
    json_problem problem;
    auto value = ParseJson(aResponse.body, problem);
    if (!value) {
      failure = { store_error::bad_answer, problem.Text() };
    }
    return value;
  }
};

http_object_store::http_object_store(std::string aBaseUrl, duration aTimeout)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->baseUrl = std::move(aBaseUrl);
  mImplementation->timeout = aTimeout;
}

http_object_store::~http_object_store() = default;
http_object_store::http_object_store(http_object_store&&) noexcept = default;
http_object_store&
http_object_store::operator=(http_object_store&&) noexcept = default;

std::optional<stored_object>
http_object_store::Get(const object_key& aKey)
{
  const auto response = mImplementation->Call(
    mImplementation->Request("GET", fmt::format("/objects/{}/{}", aKey.kind, aKey.name)), false);
  if (!response) {
    return std::nullopt;
  }
  const auto version = mImplementation->ParseRevision(*response);
  if (!version) {
    return std::nullopt;
  }
  return stored_object{ aKey, *version, response->body };
}

std::optional<object_list>
http_object_store::List(const std::string& aKind)
{
  const auto response =
    mImplementation->Call(mImplementation->Request("GET", "/objects/" + aKind), false);
  if (!response) {
    return std::nullopt;
  }
  const auto body = mImplementation->ParseBody(*response);
  if (!body) {
    return std::nullopt;
  }
  json_problem problem;
  json_reader reader(*body, "$", problem);
  reader.AllowUnknown();
  object_list list;
  list.asOf.value = static_cast<std::uint64_t>(reader.Number("revision", 0, INT64_MAX));
  for (const nlohmann::json& item : reader.List("items")) {
    json_reader entry(item, "$.items", problem);
    entry.AllowUnknown();
    stored_object object;
    object.key = { aKind, entry.Text("name") };
    object.version.value = static_cast<std::uint64_t>(entry.Number("revision", 0, INT64_MAX));
    object.value = entry.TextOr("value", "");
    list.objects.push_back(std::move(object));
  }
  if (!reader.Finish()) {
    mImplementation->failure = { store_error::bad_answer, problem.Text() };
    return std::nullopt;
  }
  return list;
}

std::optional<revision>
http_object_store::Put(const object_key& aKey,
                       const std::string& aValue,
                       const write_condition& aCondition)
{
  http_request request =
    mImplementation->Request("PUT", fmt::format("/objects/{}/{}", aKey.kind, aKey.name));
  request.body = aValue;
  // On a reused connection libcurl may silently send the write twice.
  request.freshConnection = true;
  if (aCondition.expected) {
    request.headers.push_back({ "If-Match", RenderETag(*aCondition.expected) });
  } else {
    request.headers.push_back({ "If-None-Match", "*" });
  }
  const auto response = mImplementation->Call(request, true);
  return response ? mImplementation->ParseWrittenRevision(*response) : std::nullopt;
}

std::optional<revision>
http_object_store::Delete(const object_key& aKey, revision aExpected)
{
  http_request request =
    mImplementation->Request("DELETE", fmt::format("/objects/{}/{}", aKey.kind, aKey.name));
  request.freshConnection = true;
  request.headers.push_back({ "If-Match", RenderETag(aExpected) });
  const auto response = mImplementation->Call(request, true);
  return response ? mImplementation->ParseWrittenRevision(*response) : std::nullopt;
}

std::optional<object_changes>
http_object_store::Watch(const std::vector<std::string>& aKinds, revision aFrom, duration aWait)
{
  http_request request = mImplementation->Request(
    "GET",
    fmt::format(
      "/watch?kinds={}&from={}&timeout_ms={}", fmt::join(aKinds, ","), aFrom.value, aWait.ms));
  request.timeout = aWait + kWatchTimeoutMargin;
  const auto response = mImplementation->Call(request, false);
  if (!response) {
    return std::nullopt;
  }
  const auto body = mImplementation->ParseBody(*response);
  if (!body) {
    return std::nullopt;
  }
  json_problem problem;
  json_reader reader(*body, "$", problem);
  reader.AllowUnknown();
  object_changes result;
  result.asOf.value = static_cast<std::uint64_t>(reader.Number("revision", 0, INT64_MAX));
  for (const nlohmann::json& item : reader.List("events")) {
    json_reader entry(item, "$.events", problem);
    entry.AllowUnknown();
    object_change change;
    change.key = { entry.Text("kind"), entry.Text("name") };
    change.version.value = static_cast<std::uint64_t>(entry.Number("revision", 0, INT64_MAX));
    change.deleted = entry.FlagOr("deleted", false);
    change.value = entry.TextOr("value", "");
    result.changes.push_back(std::move(change));
  }
  if (!reader.Finish()) {
    mImplementation->failure = { store_error::bad_answer, problem.Text() };
    return std::nullopt;
  }
  return result;
}

std::optional<std::vector<listed_instance>>
http_object_store::ListInstances()
{
  const auto response = mImplementation->Call(mImplementation->Request("GET", "/instances"), false);
  if (!response) {
    return std::nullopt;
  }
  json_problem problem;
  auto instances = ParseInstanceList(response->body, problem);
  if (!instances) {
    mImplementation->failure = { store_error::bad_answer, problem.Text() };
  }
  return instances;
}

void
http_object_store::Cancel()
{
  mImplementation->client.Cancel();
}

const store_failure&
http_object_store::LastFailure() const
{
  return mImplementation->failure;
}

} // namespace persimmon::platform
