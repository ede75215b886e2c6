#include "base/headerlookup.h"

#include <algorithm>
#include <cctype>

namespace persimmon {
namespace {

bool
EqualIgnoringCase(char aLeft, char aRight)
{
  return std::tolower(static_cast<unsigned char>(aLeft)) ==
         std::tolower(static_cast<unsigned char>(aRight));
}

} // namespace

bool
SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), EqualIgnoringCase);
}

} // namespace persimmon
