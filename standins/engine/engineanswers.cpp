#include "standins/engine/engineanswers.h"

#include <fmt/format.h>

namespace persimmon::standins {
namespace {

constexpr int kOk = 200;

entry::server_header
LoadHeader(const load_report& aLoad)
{
  return { "Persimmon-Load", fmt::format("running={};queued={}", aLoad.running, aLoad.queued) };
}

std::string
EventOf(const nlohmann::json& aChoice)
{
  return "data: " + nlohmann::json{ { "choices", { aChoice } } }.dump() + "\n\n";
}

} // namespace

std::vector<entry::server_header>
AnswerHeaders(const engine_request& aRequest, const load_report& aLoad)
{
  return { { "Content-Type", aRequest.streamed ? "text/event-stream" : "application/json" },
           { "Persimmon-Attempt", aRequest.attempt.value },
           { "Persimmon-Service", aRequest.service.value },
           { "Persimmon-Version", aRequest.modelVersion },
           { "Persimmon-Generation", std::to_string(aRequest.version.value) },
           { "Persimmon-Resume-Tokens", std::to_string(aRequest.resumeTokens) },
           LoadHeader(aLoad) };
}

entry::server_response
RefusalAnswer(const attempt_id& aAttempt,
              int aHttpStatus,
              const std::string& aReason,
              const engine_status& aStatus)
{
  return { aHttpStatus,
           { { "Content-Type", "application/json" },
             { "Persimmon-Attempt", aAttempt.value },
             { "Persimmon-Service", aStatus.service.value },
             { "Persimmon-Version", aStatus.modelVersion },
             { "Persimmon-Generation", std::to_string(aStatus.version.value) },
             { "Persimmon-Ran", "no" },
             LoadHeader(aStatus.load) },
           nlohmann::json{ { "reason", aReason } }.dump() };
}

entry::server_response
WholeAnswer(const engine_request& aRequest, const std::string& aText, const load_report& aLoad)
{
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
  if (aRequest.chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const nlohmann::json body = { { "id", aRequest.attempt.value },
                                { "object", aRequest.chat ? "chat.completion" : "text_completion" },
                                { "model", aRequest.service.value },
                                { "choices", { choice } },
                                { "usage", { { "completion_tokens", aRequest.maxTokens } } } };
  return { kOk, AnswerHeaders(aRequest, aLoad), body.dump() };
}

std::string
TokenEvent(const engine_request& aRequest, const std::string& aText)
{
  if (aRequest.chat) {
    return EventOf({ { "index", 0 }, { "delta", { { "content", aText } } } });
  }
  return EventOf({ { "index", 0 }, { "text", aText } });
}

std::string
LastEvents(const engine_request& aRequest)
{
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
  if (aRequest.chat) {
    choice["delta"] = nlohmann::json::object();
  } else {
    choice["text"] = "";
  }
  return EventOf(choice) + "data: [DONE]\n\n";
}

} // namespace persimmon::standins
