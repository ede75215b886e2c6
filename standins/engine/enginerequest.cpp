#include "standins/engine/enginerequest.h"

#include <charconv>

namespace persimmon::standins {
namespace {

constexpr std::int64_t kDefaultTokens = 16;
constexpr std::int64_t kMostTokens = 1000000;
constexpr std::uint32_t kDefaultPriority = 3;

template<typename Number>
Number
HeaderNumber(const entry::server_request& aRequest, const char* aName, Number aDefault)
{
  const std::string text = aRequest.Header(aName);
  Number number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  return result.ec == std::errc() ? number : aDefault;
}

std::string
ReadPrompt(json_reader& aReader, bool aChat)
{
  const nlohmann::json* prompt = aReader.Member(aChat ? "messages" : "prompt", true);
  if (prompt == nullptr) {
    return {};
  }
  return prompt->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::optional<engine_request>
ParseEngineRequest(const entry::server_request& aRequest, json_problem& aProblem)
{
  const auto body = ParseJson(aRequest.body.Text(), aProblem);
  if (!body) {
    return std::nullopt;
  }
  json_reader reader(*body, "$", aProblem);
  reader.AllowUnknown();
  engine_request request;
  request.chat = aRequest.path == "/v1/chat/completions";
  request.prompt = ReadPrompt(reader, request.chat);
  request.streamed = reader.FlagOr("stream", false);
  request.maxTokens =
    static_cast<std::size_t>(reader.NumberOr("max_tokens", 1, kMostTokens, kDefaultTokens));
  request.attempt.value = aRequest.Header("Persimmon-Attempt");
  request.request.value = aRequest.Header("Persimmon-Request");
  request.key.value = aRequest.Header("Idempotency-Key");
  request.group.value = aRequest.Header("Persimmon-Group");
  request.version.value = HeaderNumber<std::uint64_t>(aRequest, "Persimmon-Generation", 0);
  request.priority = HeaderNumber<std::uint32_t>(aRequest, "Persimmon-Priority", kDefaultPriority);
  request.resumeTokens = HeaderNumber<std::size_t>(aRequest, "Persimmon-Resume-Tokens", 0);
  request.body = aRequest.body.Text();
  return reader.Finish() ? std::optional(request) : std::nullopt;
}

} // namespace persimmon::standins
