#include "base/responseheadreader.h"

#include "base/text.h"

#include <algorithm>

namespace persimmon {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kDecimal = 10;
/// Longest part of a line in the text of a fault, in bytes.
constexpr std::size_t kMaxExcerptBytes = 60;

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

/// Returns a line without its line end.
std::string_view
WithoutLineEnd(std::string_view aLine)
{
  for (const char end : { '\n', '\r' }) {
    if (aLine.ends_with(end)) {
      aLine.remove_suffix(1);
    }
  }
  return aLine;
}

/// Returns a header value without the spaces and tabs around it. Carriage returns stay, since they
/// are no white space there.
std::string_view
WithoutBlanks(std::string_view aValue)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aValue.find_first_not_of(kBlanks);
  return first == std::string_view::npos
           ? std::string_view()
           : aValue.substr(first, aValue.find_last_not_of(kBlanks) - first + 1);
}

/// Returns the status code at the start of a text, which must end there or go on with a space; 0
/// when there is none.
int
ParseStatus(std::string_view aText)
{
  const std::string_view digits = aText.substr(0, kStatusDigits);
  const bool isWhole = aText.size() <= kStatusDigits || aText[kStatusDigits] == ' ';
  if (digits.size() != kStatusDigits || !isWhole ||
      !std::all_of(digits.begin(), digits.end(), IsDigit)) {
    return 0;
  }
  int status = 0;
  for (const char digit : digits) {
    status = status * kDecimal + (digit - '0');
  }
  return status;
}

} // namespace

bool
response_head_reader::Add(std::string_view aLine)
{
  if (!mFault.empty()) {
    return false;
  }
  const std::string_view line = WithoutLineEnd(aLine);
  const std::string_view fault =
    mSize.Add(aLine.size()) ? ReadLine(line) : "response head too large";
  if (!fault.empty()) {
    mFault.append(fault).append(", at: ").append(PrintableExcerpt(line, kMaxExcerptBytes));
  }
  return mFault.empty();
}

std::string_view
response_head_reader::ReadLine(std::string_view aLine)
{
  if (mState == state::status_line) {
    return ReadStatusLine(aLine);
  }
  if (!aLine.empty()) {
    return ReadField(aLine);
  }
  return mState == state::headers ? EndHead() : "";
}

std::string_view
response_head_reader::ReadStatusLine(std::string_view aLine)
{
  // HTTP/1. and a digit, a space, the status.
  const std::size_t statusAt = kVersionPrefix.size() + 2;
  if (!aLine.starts_with(kVersionPrefix) || aLine.size() < statusAt ||
      !IsDigit(aLine[kVersionPrefix.size()]) || aLine[statusAt - 1] != ' ') {
    return "invalid status line";
  }
  mStatus = ParseStatus(aLine.substr(statusAt));
  if (mStatus < kFirstStatus || mStatus > kLastStatus) {
    return "invalid status code";
  }
  if (HasControlByte(aLine)) {
    return "control byte in the status line";
  }
  // Nobody asks for another protocol.
  if (mStatus == kSwitchingProtocols) {
    return "unexpected switch of the protocol";
  }
  mIsFirstVersion = aLine[kVersionPrefix.size()] == '0';
  mFraming = {};
  mHeaders.clear();
  mState = state::headers;
  return {};
}

std::string_view
response_head_reader::ReadField(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return "header line without a colon";
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = WithoutBlanks(aLine.substr(colon + 1));
  if (mState == state::trailers) {
    return FindFieldFault(name, value);
  }
  const std::string_view fault = mFraming.Add(name, value);
  if (fault.empty()) {
    mHeaders.push_back({ std::string(name), std::string(value) });
  }
  return fault;
}

std::string_view
response_head_reader::EndHead()
{
  if (mStatus < kFirstFinalStatus) {
    mState = state::status_line;
    return mFraming.IsFramed() ? "interim response with a body" : "";
  }
  mState = state::trailers;
  return mIsFirstVersion && mFraming.IsChunked() ? "transfer encoding in HTTP/1.0" : "";
}

} // namespace persimmon
