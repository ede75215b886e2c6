#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::load {

/// Collects the answer text of a stream of server-sent events, in whatever pieces it comes.
class stream_text
{
public:
  /// Takes bytes of the body; returns how many events with text they completed.
  std::size_t Feed(std::string_view aBytes);
  /// Returns whether `data: [DONE]` came, with no error event before it and nothing after it.
  [[nodiscard]] bool IsWhole() const { return mDone && !mFailed; }
  [[nodiscard]] const std::string& Text() const { return mText; }
  /// Returns the data of the error event that ended the stream, if any.
  [[nodiscard]] const std::string& ErrorData() const { return mErrorData; }

private:
  bool TakeLine(std::string_view aLine);

  std::string mPending;
  std::string mText;
  std::string mErrorData;
  bool mInError = false;
  bool mDone = false;
  bool mFailed = false;
};

/// Returns the answer text of a model's answer that was not streamed, or nothing when it has none.
std::optional<std::string>
ModelAnswerText(std::string_view aBody);

} // namespace persimmon::load
