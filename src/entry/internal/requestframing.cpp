#include "entry/internal/requestframing.h"

#include "base/headerlookup.h"

#include <algorithm>
#include <array>
#include <limits>

namespace persimmon::entry {
namespace {

constexpr std::string_view kTransferCoding = "chunked";
constexpr std::size_t kByteValues = std::numeric_limits<unsigned char>::max() + 1;

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
IsLength(std::string_view aValue)
{
  return !aValue.empty() && std::all_of(aValue.begin(), aValue.end(), [](char aByte) {
    return aByte >= '0' && aByte <= '9';
  });
}

} // namespace

std::string_view
FindFramingFault(const std::vector<server_header>& aHeaders)
{
  bool hasTransferCoding = false;
  for (const server_header& header : aHeaders) {
    if (!IsHeaderName(header.name)) {
      return "invalid header name";
    }
    if (SameHeaderName(header.name, "Content-Length") && !IsLength(header.value)) {
      return "invalid content length";
    }
    if (!SameHeaderName(header.name, "Transfer-Encoding")) {
      continue;
    }
    // Transfer codings are case-insensitive, as header names are.
    if (hasTransferCoding || !SameHeaderName(header.value, kTransferCoding)) {
      return "unsupported transfer encoding";
    }
    hasTransferCoding = true;
  }
  return {};
}

} // namespace persimmon::entry
