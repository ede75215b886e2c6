#include "app/router/attemptheaders.h"

#include "base/text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace persimmon::router {
namespace {

constexpr std::string_view kOwnPrefix = "persimmon-";

/// Headers of one connection, and those that the router sets or keeps to itself.
constexpr std::array<std::string_view, 14> kNotForwarded{
  "connection",          "keep-alive", "proxy-authenticate",
  "proxy-authorization", "te",         "trailer",
  "transfer-encoding",   "upgrade",    "host",
  "content-length",      "expect",     "authorization",
  "idempotency-key",     "priority"
};

bool
IsForwarded(std::string_view aName)
{
  const std::string name = LowerCase(aName);
  return !name.starts_with(kOwnPrefix) &&
         std::find(kNotForwarded.begin(), kNotForwarded.end(), name) == kNotForwarded.end();
}

std::uint64_t
NumberIn(std::string_view aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

/// Returns the number after `aName=` in a list such as `running=4;queued=1`.
std::uint32_t
Member(std::string_view aText, std::string_view aName)
{
  const std::size_t at = aText.find(aName);
  return at == std::string_view::npos
           ? 0
           : static_cast<std::uint32_t>(NumberIn(aText.substr(at + aName.size())));
}

} // namespace

routing::attempt_identity
ExpectedIdentity(const routing::upstream& aUpstream, const attempt_id& aAttempt)
{
  routing::attempt_identity identity;
  identity.attempt = aAttempt.value;
  if (!aUpstream.group.Empty()) {
    identity.service = aUpstream.service.value;
    identity.version = aUpstream.model.version;
    identity.generation = std::to_string(aUpstream.generation.value);
  }
  return identity;
}

std::vector<upstream::upstream_header>
AttemptHeaders(const entry::server_request& aRequest,
               const parsed_call& aCall,
               const request_id& aId,
               const attempt_id& aAttempt,
               const routing::upstream& aUpstream,
               std::uint64_t aResumeAfter)
{
  std::vector<upstream::upstream_header> headers;
  bool hasType = false;
  for (const entry::server_header& header : aRequest.headers) {
    if (IsForwarded(header.name)) {
      hasType = hasType || LowerCase(header.name) == "content-type";
      headers.push_back({ header.name, header.value });
    }
  }
  if (!hasType) {
    // Without a value, libcurl leaves out the type that it would add itself.
    headers.push_back({ "Content-Type", "" });
  }
  headers.push_back({ "Persimmon-Request", aId.value });
  headers.push_back({ "Persimmon-Attempt", aAttempt.value });
  headers.push_back({ "Persimmon-Priority", std::to_string(aCall.priority) });
  if (!aCall.key.Empty()) {
    headers.push_back({ "Idempotency-Key", aCall.key.value });
  }
  if (!aUpstream.group.Empty()) {
    headers.push_back({ "Persimmon-Group", aUpstream.group.value });
    headers.push_back({ "Persimmon-Generation", std::to_string(aUpstream.generation.value) });
  }
  if (aResumeAfter > 0) {
    headers.push_back({ "Persimmon-Resume-Tokens", std::to_string(aResumeAfter) });
  }
  return headers;
}

routing::flow_response_head
ReadHead(const upstream::response_head& aHead, routing::attempt_number aAttempt)
{
  routing::flow_response_head head;
  head.attempt = aAttempt;
  head.status = aHead.status;
  head.identity.attempt = aHead.Header("Persimmon-Attempt");
  head.identity.service = aHead.Header("Persimmon-Service");
  head.identity.version = aHead.Header("Persimmon-Version");
  head.identity.generation = aHead.Header("Persimmon-Generation");
  head.provedNotRun = aHead.Header("Persimmon-Ran") == "no";
  head.resumedAfter = NumberIn(aHead.Header("Persimmon-Resume-Tokens"));
  return head;
}

std::optional<routing::load_report>
ReadLoad(const upstream::response_head& aHead, time_point aNow)
{
  const std::string text = aHead.Header("Persimmon-Load");
  if (text.empty()) {
    return std::nullopt;
  }
  return routing::load_report{ Member(text, "running="), Member(text, "queued="), aNow };
}

std::vector<entry::server_header>
AnswerHeaders(const upstream::response_head& aHead, const request_id& aId)
{
  std::vector<entry::server_header> headers;
  for (const upstream::upstream_header& header : aHead.headers) {
    if (IsForwarded(header.name)) {
      headers.push_back({ header.name, header.value });
    }
  }
  headers.push_back({ "Persimmon-Request", aId.value });
  return headers;
}

} // namespace persimmon::router
