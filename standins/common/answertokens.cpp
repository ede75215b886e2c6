#include "standins/common/answertokens.h"

#include "base/hash.h"

#include <fmt/format.h>

namespace persimmon::standins {

answer_tokens::answer_tokens(std::string_view aBody)
  : mSeedText(fmt::format("{:016x}", HashText(aBody)))
{
}

std::string
answer_tokens::Token(std::size_t aIndex) const
{
  constexpr std::uint64_t kTokenBits = 0xffffffffU;
  return fmt::format("{:08x} ", HashText(mSeedText, aIndex) & kTokenBits);
}

std::string
answer_tokens::Text(std::size_t aCount) const
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += Token(i);
  }
  return text;
}

} // namespace persimmon::standins
