#pragma once

#include "base/headerfield.h"
#include "base/messageframing.h"
#include "base/responseheadsize.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Reads the head of an HTTP/1.x response line by line and judges whether the response may be used
/// at all. Every client of this system reads heads with it: the library below takes a length up to
/// its first wrong byte, the last of several lengths, and lines that it does not know for nothing.
class response_head_reader
{
public:
  /// Takes in the next line, with its line end; also the lines of interim responses before the
  /// head, and of trailers after the body. Returns false when the response must not be used; see
  /// Fault().
  [[nodiscard]] bool Add(std::string_view aLine);
  /// Returns whether the empty line behind the head of the final response has been read.
  [[nodiscard]] bool IsComplete() const { return mState == state::trailers; }
  /// Why the response must not be used, with the start of the line; empty when it may.
  [[nodiscard]] const std::string& Fault() const { return mFault; }
  /// Status code of the latest status line; 0 before the first.
  [[nodiscard]] int Status() const { return mStatus; }
  /// Headers of the latest head; trailers are dropped.
  [[nodiscard]] std::vector<header_field>& Headers() { return mHeaders; }

private:
  enum class state
  {
    status_line,
    headers,
    trailers
  };

  /// Each returns the fault of a line; empty when it has none.
  std::string_view ReadLine(std::string_view aLine);
  std::string_view ReadStatusLine(std::string_view aLine);
  std::string_view ReadField(std::string_view aLine);
  std::string_view EndHead();

  state mState = state::status_line;
  response_head_size mSize;
  int mStatus = 0;
  bool mIsFirstVersion = false;
  message_framing mFraming;
  std::vector<header_field> mHeaders;
  std::string mFault;
};

} // namespace persimmon
