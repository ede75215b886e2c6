#include "history/digest.h"

#include "base/hash.h"

#include <fmt/format.h>

namespace persimmon::history {

std::string
DigestOf(std::string_view aText)
{
  return fmt::format("{:016x}", HashText(aText));
}

} // namespace persimmon::history
