#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon::standins {

/// The answer of the stand-in engine: a fixed function of the request body, so that anyone who
/// knows the body can check a whole answer.
class answer_tokens
{
public:
  explicit answer_tokens(std::string_view aBody);

  /// Returns token number aIndex with the space that follows it.
  [[nodiscard]] std::string Token(std::size_t aIndex) const;
  /// Returns the text of all tokens.
  [[nodiscard]] std::string Text(std::size_t aCount) const;

private:
  std::string mSeedText;
};

} // namespace persimmon::standins
