#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::bench {

/// Tells whether a part of a bench is to run: one that was named, or any when none was.
inline bool
Wants(const std::vector<std::string>& aParts, std::string_view aPart)
{
  return aParts.empty() || std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

} // namespace persimmon::bench
