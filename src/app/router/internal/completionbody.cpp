#include "app/router/completionbody.h"

#include "base/json.h"

#include <fmt/format.h>
#include <set>
#include <vector>

namespace persimmon::router {
namespace {

using nlohmann::json;
using routing::refusal_reason;

constexpr unsigned char kContinuationMask = 0xC0;
constexpr unsigned char kContinuation = 0x80;

/// Length of the UTF-8 sequence that a byte begins, or 0.
std::size_t
SequenceLength(unsigned char aLead)
{
  if (aLead < 0x80) {
    return 1;
  }
  if (aLead >= 0xC2 && aLead <= 0xDF) {
    return 2;
  }
  if (aLead >= 0xE0 && aLead <= 0xEF) {
    return 3;
  }
  return aLead >= 0xF0 && aLead <= 0xF4 ? 4 : 0;
}

/// Refuses overlong forms, surrogates and what lies beyond Unicode.
bool
IsAllowedSecond(unsigned char aLead, unsigned char aSecond)
{
  switch (aLead) {
    case 0xE0:
      return aSecond >= 0xA0;
    case 0xED:
      return aSecond < 0xA0;
    case 0xF0:
      return aSecond >= 0x90;
    case 0xF4:
      return aSecond < 0x90;
    default:
      return true;
  }
}

/// Returns the position of the first byte that is not UTF-8, if any.
std::optional<std::size_t>
FindInvalidUtf8(std::string_view aText)
{
  std::size_t position = 0;
  while (position < aText.size()) {
    const auto lead = static_cast<unsigned char>(aText[position]);
    const std::size_t length = SequenceLength(lead);
    if (length == 0 || position + length > aText.size()) {
      return position;
    }
    for (std::size_t i = 1; i < length; ++i) {
      const auto next = static_cast<unsigned char>(aText[position + i]);
      if ((next & kContinuationMask) != kContinuation || (i == 1 && !IsAllowedSecond(lead, next))) {
        return position;
      }
    }
    position += length;
  }
  return std::nullopt;
}

/// Watches the parser for members that stand twice in one object.
class duplicate_finder
{
public:
  bool operator()(int, json::parse_event_t aEvent, json& aValue)
  {
    if (aEvent == json::parse_event_t::object_start) {
      mNames.emplace_back();
    } else if (aEvent == json::parse_event_t::object_end) {
      mNames.pop_back();
    } else if (aEvent == json::parse_event_t::key && duplicate.empty()) {
      const auto& name = aValue.get_ref<const std::string&>();
      if (!mNames.back().insert(name).second) {
        duplicate = name;
      }
    }
    return true;
  }

  std::string duplicate;

private:
  std::vector<std::set<std::string>> mNames;
};

std::nullopt_t
Fail(call_problem& aProblem, refusal_reason aReason, std::string aDetail)
{
  aProblem = { aReason, std::move(aDetail) };
  return std::nullopt;
}

std::optional<json>
ParseStrictly(std::string_view aBody, call_problem& aProblem)
{
  if (const auto position = FindInvalidUtf8(aBody)) {
    return Fail(
      aProblem, refusal_reason::invalid_utf8, fmt::format("byte {} is not UTF-8", *position));
  }
  duplicate_finder finder;
  std::optional<json> value;
  try {
    value = json::parse(aBody, [&finder](int aDepth, json::parse_event_t aEvent, json& aValue) {
      return finder(aDepth, aEvent, aValue);
    });
  } catch (const json::parse_error& error) {
    return Fail(
      aProblem, refusal_reason::not_json, fmt::format("syntax error at byte {}", error.byte));
  } catch (const json::exception&) {
    return Fail(aProblem, refusal_reason::not_json, "a number is out of range");
  }
  if (!finder.duplicate.empty()) {
    return Fail(aProblem,
                refusal_reason::duplicate_member,
                fmt::format("\"{}\" stands twice in one object", finder.duplicate));
  }
  if (!value->is_object()) {
    return Fail(aProblem, refusal_reason::bad_member, "$: expected an object");
  }
  return value;
}

/// Returns a required member of the expected kind; nullptr with aProblem filled in.
const json*
Require(const json& aObject,
        const std::string& aPath,
        const char* aName,
        json::value_t aKind,
        call_problem& aProblem)
{
  const auto found = aObject.find(aName);
  const std::string path = fmt::format("{}.{}", aPath, aName);
  if (found == aObject.end()) {
    aProblem = { refusal_reason::missing_member, path + ": missing" };
    return nullptr;
  }
  if (found->type() != aKind || found->empty()) {
    aProblem = { refusal_reason::bad_member,
                 fmt::format("{}: expected a non-empty {}",
                             path,
                             aKind == json::value_t::string ? "text" : "array") };
    return nullptr;
  }
  return &*found;
}

/// Appends a message's content, which is a text, null, or parts some of which are texts.
bool
AppendContent(const json& aMessage,
              const std::string& aPath,
              std::string& aPrompt,
              call_problem& aProblem)
{
  const auto content = aMessage.find("content");
  if (content == aMessage.end()) {
    aProblem = { refusal_reason::missing_member, aPath + ".content: missing" };
    return false;
  }
  if (content->is_string()) {
    aPrompt += content->get_ref<const std::string&>();
    return true;
  }
  if (content->is_array()) {
    for (const json& part : *content) {
      if (part.is_object() && part.contains("text") && part["text"].is_string()) {
        aPrompt += part["text"].get_ref<const std::string&>();
      }
    }
    return true;
  }
  if (!content->is_null()) {
    aProblem = { refusal_reason::bad_member, aPath + ".content: expected a text or an array" };
    return false;
  }
  return true;
}

bool
ReadMessages(const json& aValue, std::string& aPrompt, call_problem& aProblem)
{
  const json* messages = Require(aValue, "$", "messages", json::value_t::array, aProblem);
  if (messages == nullptr) {
    return false;
  }
  std::size_t index = 0;
  for (const json& message : *messages) {
    const std::string path = fmt::format("$.messages[{}]", index++);
    if (!message.is_object()) {
      aProblem = { refusal_reason::bad_member, path + ": expected an object" };
      return false;
    }
    if (Require(message, path, "role", json::value_t::string, aProblem) == nullptr ||
        !AppendContent(message, path, aPrompt, aProblem)) {
      return false;
    }
  }
  return true;
}

bool
ReadPrompt(const json& aValue, std::string& aPrompt, call_problem& aProblem)
{
  const json* prompt = Require(aValue, "$", "prompt", json::value_t::string, aProblem);
  if (prompt == nullptr) {
    return false;
  }
  aPrompt = prompt->get_ref<const std::string&>();
  return true;
}

} // namespace

std::optional<completion_body>
ParseCompletionBody(std::string_view aBody, completion_kind aKind, call_problem& aProblem)
{
  const auto value = ParseStrictly(aBody, aProblem);
  if (!value) {
    return std::nullopt;
  }
  const json* model = Require(*value, "$", "model", json::value_t::string, aProblem);
  if (model == nullptr) {
    return std::nullopt;
  }
  completion_body body;
  body.model = model->get_ref<const std::string&>();
  const auto stream = value->find("stream");
  if (stream != value->end()) {
    if (!stream->is_boolean()) {
      return Fail(aProblem, refusal_reason::bad_member, "$.stream: expected true or false");
    }
    body.streamed = stream->get<bool>();
  }
  const bool read = aKind == completion_kind::chat ? ReadMessages(*value, body.prompt, aProblem)
                                                   : ReadPrompt(*value, body.prompt, aProblem);
  return read ? std::optional(std::move(body)) : std::nullopt;
}

} // namespace persimmon::router
