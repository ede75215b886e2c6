#include "entry/serverrequest.h"

#include "base/headerlookup.h"

#include <algorithm>
#include <string_view>

namespace persimmon::entry {

std::string
server_request::Header(const std::string& aName) const
{
  return FindHeader(headers, aName);
}

std::string
server_request::QueryMember(const std::string& aName) const
{
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view member = rest.substr(0, end);
    if (member.size() > aName.size() && member.starts_with(aName) && member[aName.size()] == '=') {
      return std::string(member.substr(aName.size() + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

} // namespace persimmon::entry
