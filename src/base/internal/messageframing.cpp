#include "base/messageframing.h"

#include "base/headerlookup.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace persimmon {
namespace {

constexpr std::string_view kTransferCoding = "chunked";
constexpr std::size_t kByteValues = std::numeric_limits<unsigned char>::max() + 1;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;
/// Largest length that libraries hold in a signed number.
constexpr std::uint64_t kMaxLength = std::numeric_limits<std::int64_t>::max();

/// Returns which bytes a header name may consist of (`tchar` of RFC 9110, 5.6.2).
constexpr std::array<bool, kByteValues>
MakeNameBytes()
{
  std::array<bool, kByteValues> allowed{};
  for (const char byte : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz")) {
    allowed[static_cast<unsigned char>(byte)] = true;
  }
  return allowed;
}

constexpr std::array<bool, kByteValues> kNameBytes = MakeNameBytes();

bool
IsHeaderName(std::string_view aName)
{
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), [](char aByte) {
    return kNameBytes[static_cast<unsigned char>(aByte)];
  });
}

bool
IsControlByte(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return (byte < kFirstPrintable && aByte != '\t') || byte == kDelete;
}

/// Returns a length of decimal digits alone; nothing for any other text.
std::optional<std::uint64_t>
ParseLength(std::string_view aValue)
{
  std::uint64_t length = 0;
  const char* end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, length);
  const bool isLength = parsed.ec == std::errc{} && parsed.ptr == end && length <= kMaxLength;
  return isLength ? std::optional(length) : std::nullopt;
}

} // namespace

bool
HasControlByte(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), IsControlByte);
}

std::string_view
FindFieldFault(std::string_view aName, std::string_view aValue)
{
  if (!IsHeaderName(aName)) {
    return "invalid header name";
  }
  if (HasControlByte(aValue)) {
    return "control byte in a header value";
  }
  return {};
}

std::string_view
message_framing::Add(std::string_view aName, std::string_view aValue)
{
  const std::string_view fault = FindFieldFault(aName, aValue);
  if (!fault.empty()) {
    return fault;
  }
  if (SameHeaderName(aName, "Content-Length")) {
    return AddLength(aValue);
  }
  if (SameHeaderName(aName, "Transfer-Encoding")) {
    return AddTransferCoding(aValue);
  }
  return {};
}

std::string_view
message_framing::AddLength(std::string_view aValue)
{
  const auto length = ParseLength(aValue);
  if (!length) {
    return "invalid content length";
  }
  if (mLength && mLength != length) {
    return "different content lengths";
  }
  mLength = length;
  return mIsChunked ? "content length beside a transfer encoding" : "";
}

std::string_view
message_framing::AddTransferCoding(std::string_view aValue)
{
  // Transfer codings are case-insensitive, as header names are.
  if (mIsChunked || !SameHeaderName(aValue, kTransferCoding)) {
    return "unsupported transfer encoding";
  }
  mIsChunked = true;
  return mLength ? "content length beside a transfer encoding" : "";
}

} // namespace persimmon
