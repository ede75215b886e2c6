#include "entry/internal/requestscanner.h"

#include "base/headerlookup.h"
#include "base/text.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace persimmon::entry {
namespace {

/// Longest line; above the largest head that the HTTP parser takes (80 KB).
constexpr std::size_t kMaxLineBytes = 128U << 10U;
constexpr int kChunkSizeBase = 16;

/// Reads the number at the begin of a text and removes it; nothing when there is none or it is too
/// large.
std::optional<std::uint64_t>
TakeNumber(std::string_view& aText, int aBase)
{
  std::uint64_t number = 0;
  const auto result = std::from_chars(aText.data(), aText.data() + aText.size(), number, aBase);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(result.ptr - aText.data()));
  return number;
}

bool
IsControl(char aByte)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  const auto byte = static_cast<unsigned char>(aByte);
  return (byte < kFirstPrintable && aByte != '\t') || byte == kDelete;
}

bool
IsBlank(char aByte)
{
  return aByte == ' ' || aByte == '\t';
}

} // namespace

bool
request_scanner::Feed(std::string_view aBytes)
{
  while (!aBytes.empty() && mPart != part::faulty) {
    const bool isContent = mPart == part::body || mPart == part::chunk;
    aBytes = isContent ? SkipContent(aBytes) : ReadLine(aBytes);
  }
  return mPart != part::faulty;
}

std::string_view
request_scanner::SkipContent(std::string_view aBytes)
{
  const std::size_t skipped = std::min<std::uint64_t>(mLeft, aBytes.size());
  mLeft -= skipped;
  if (mLeft == 0) {
    mPart = mPart == part::chunk ? part::chunk_end : part::request_line;
  }
  return aBytes.substr(skipped);
}

std::string_view
request_scanner::ReadLine(std::string_view aBytes)
{
  const std::size_t end = aBytes.find('\n');
  const std::size_t size = end == std::string_view::npos ? aBytes.size() : end + 1;
  if (mLine.size() + size > kMaxLineBytes) {
    mPart = part::faulty;
  } else if (end == std::string_view::npos) {
    mLine.append(aBytes);
  } else if (mLine.empty()) {
    mPart = HandleLine(aBytes.substr(0, size));
  } else {
    mLine.append(aBytes.substr(0, size));
    mPart = HandleLine(mLine);
    mLine.clear();
  }
  return aBytes.substr(size);
}

request_scanner::part
request_scanner::HandleLine(std::string_view aLine)
{
  aLine.remove_suffix(1);
  // Lines of the head may end with a line feed alone (RFC 9112, 2.2).
  const bool hasReturn = aLine.ends_with('\r');
  aLine.remove_suffix(hasReturn ? 1 : 0);
  if (aLine.find('\r') != std::string_view::npos) {
    return part::faulty;
  }
  switch (mPart) {
    case part::request_line:
      return HandleRequestLine(aLine);
    case part::header:
      return HandleHeader(aLine);
    case part::chunk_size:
      return hasReturn ? HandleChunkSize(aLine) : part::faulty;
    case part::chunk_end:
      return hasReturn && aLine.empty() ? part::chunk_size : part::faulty;
    case part::trailer:
      return aLine.empty() ? part::request_line : part::trailer;
    case part::body:
    case part::chunk:
    case part::faulty:
      break;
  }
  return part::faulty;
}

request_scanner::part
request_scanner::HandleRequestLine(std::string_view aLine)
{
  if (aLine.empty()) {
    // Empty lines before a request are skipped (RFC 9112, 2.2).
    return part::request_line;
  }
  mLeft = 0;
  mIsChunked = false;
  mIsFramingHeader = false;
  // Without a version, the HTTP parser takes the line for HTTP/0.9.
  return aLine.ends_with(" HTTP/1.1") || aLine.ends_with(" HTTP/1.0") ? part::header : part::faulty;
}

request_scanner::part
request_scanner::HandleHeader(std::string_view aLine)
{
  if (aLine.empty()) {
    ++mEndedHeads;
    return PartBehindHead();
  }
  if (IsBlank(aLine.front())) {
    // A folded line; the HTTP parser reads it as part of the value.
    return mIsFramingHeader ? part::faulty : part::header;
  }
  const std::size_t colon = std::min(aLine.find(':'), aLine.size());
  const std::string_view name = Trimmed(aLine.substr(0, colon));
  std::string_view value = Trimmed(aLine.substr(std::min(colon + 1, aLine.size())));
  const bool isLength = SameHeaderName(name, "Content-Length");
  const bool isCoding = SameHeaderName(name, "Transfer-Encoding");
  mIsFramingHeader = isLength || isCoding;
  if (isLength) {
    mLeft = TakeNumber(value, 10).value_or(0);
  }
  mIsChunked = mIsChunked || isCoding;
  return part::header;
}

request_scanner::part
request_scanner::PartBehindHead() const
{
  if (mIsChunked) {
    return part::chunk_size;
  }
  return mLeft > 0 ? part::body : part::request_line;
}

request_scanner::part
request_scanner::HandleChunkSize(std::string_view aLine)
{
  const auto size = TakeNumber(aLine, kChunkSizeBase);
  if (!size) {
    return part::faulty;
  }
  while (!aLine.empty() && IsBlank(aLine.front())) {
    aLine.remove_prefix(1);
  }
  const bool isExtension =
    aLine.starts_with(';') && std::none_of(aLine.begin(), aLine.end(), IsControl);
  if (!aLine.empty() && !isExtension) {
    return part::faulty;
  }
  mLeft = *size;
  return mLeft == 0 ? part::trailer : part::chunk;
}

} // namespace persimmon::entry
