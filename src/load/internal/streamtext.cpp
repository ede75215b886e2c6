#include "load/streamtext.h"

#include "base/json.h"

namespace persimmon::load {
namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEnd = "[DONE]";

const nlohmann::json*
TextMember(const nlohmann::json& aValue, const char* aName)
{
  const auto member = aValue.find(aName);
  return member != aValue.end() && member->is_string() ? &*member : nullptr;
}

/// Returns the text of the first choice; aHolder is `delta` in streams and `message` elsewhere.
std::optional<std::string>
ChoiceText(const nlohmann::json& aValue, const char* aHolder)
{
  if (!aValue.is_object() || !aValue.contains("choices") || !aValue["choices"].is_array() ||
      aValue["choices"].empty() || !aValue["choices"][0].is_object()) {
    return std::nullopt;
  }
  const nlohmann::json& choice = aValue["choices"][0];
  if (const nlohmann::json* text = TextMember(choice, "text")) {
    return text->get<std::string>();
  }
  if (!choice.contains(aHolder) || !choice[aHolder].is_object()) {
    return std::nullopt;
  }
  const nlohmann::json* content = TextMember(choice[aHolder], "content");
  return content != nullptr ? std::optional(content->get<std::string>()) : std::nullopt;
}

std::string_view
WithoutSpace(std::string_view aText)
{
  if (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  if (!aText.empty() && aText.back() == '\r') {
    aText.remove_suffix(1);
  }
  return aText;
}

} // namespace

std::size_t
stream_text::Feed(std::string_view aBytes)
{
  mPending.append(aBytes);
  std::size_t tokens = 0;
  std::size_t start = 0;
  std::size_t end = mPending.find('\n');
  while (end != std::string::npos) {
    tokens += TakeLine(std::string_view(mPending).substr(start, end - start)) ? 1 : 0;
    start = end + 1;
    end = mPending.find('\n', start);
  }
  mPending.erase(0, start);
  return tokens;
}

bool
stream_text::TakeLine(std::string_view aLine)
{
  if (aLine.starts_with("event: error")) {
    mFailed = true;
    mInError = true;
  }
  if (!aLine.starts_with(kDataPrefix)) {
    return false;
  }
  if (mDone) {
    mFailed = true;
    return false;
  }
  const std::string_view data = WithoutSpace(aLine.substr(kDataPrefix.size()));
  if (mInError) {
    mErrorData += data;
    return false;
  }
  if (data == kEnd) {
    mDone = true;
    return false;
  }
  json_problem problem;
  const auto value = ParseJson(data, problem);
  if (!value || value->contains("error")) {
    mFailed = true;
    return false;
  }
  const auto text = ChoiceText(*value, "delta");
  mText += text.value_or("");
  return text.has_value() && !text->empty();
}

std::optional<std::string>
ModelAnswerText(std::string_view aBody)
{
  json_problem problem;
  const auto value = ParseJson(aBody, problem);
  return value ? ChoiceText(*value, "message") : std::nullopt;
}

} // namespace persimmon::load
