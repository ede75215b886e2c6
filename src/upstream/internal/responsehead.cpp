#include "upstream/responsehead.h"

#include "base/headerlookup.h"

namespace persimmon::upstream {

std::string
response_head::Header(std::string_view aName) const
{
  return FindHeader(headers, aName);
}

} // namespace persimmon::upstream
