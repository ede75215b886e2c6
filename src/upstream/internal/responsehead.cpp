#include "upstream/responsehead.h"

#include <algorithm>
#include <cctype>

namespace persimmon::upstream {
namespace {

bool
SameLetter(char aLeft, char aRight)
{
  return std::tolower(static_cast<unsigned char>(aLeft)) ==
         std::tolower(static_cast<unsigned char>(aRight));
}

} // namespace

std::string
response_head::Header(std::string_view aName) const
{
  for (const upstream_header& header : headers) {
    if (std::equal(
          header.name.begin(), header.name.end(), aName.begin(), aName.end(), SameLetter)) {
      return header.value;
    }
  }
  return {};
}

} // namespace persimmon::upstream
