#pragma once

#include "placement/domaintable.h"

#include <string>

namespace persimmon::placement {

/// Returns the members of a group, in order and separated by commas.
inline std::string
MemberList(const group& aGroup)
{
  std::string text;
  for (const group_member& member : aGroup.members) {
    text += (text.empty() ? "" : ",") + member.instance.value;
  }
  return text;
}

} // namespace persimmon::placement
