#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace persimmon {

/// Immutable text whose copies share its memory.
class shared_text
{
public:
  shared_text() = default;
  // Implicit, so that it is used like the text that it holds.
  // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions)
  shared_text(std::string aText)
    : mText(std::make_shared<const std::string>(std::move(aText)))
  {
  }
  // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions)
  shared_text(const char* aText)
    : shared_text(std::string(aText))
  {
  }
  /// Holds a text that belongs to another object, which aText keeps.
  explicit shared_text(std::shared_ptr<const std::string> aText)
    : mText(std::move(aText))
  {
  }

  [[nodiscard]] const std::string& Text() const
  {
    static const std::string kEmpty;
    return mText ? *mText : kEmpty;
  }
  // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions)
  operator const std::string&() const { return Text(); }
  [[nodiscard]] std::size_t Size() const { return Text().size(); }
  [[nodiscard]] bool Empty() const { return Text().empty(); }
  [[nodiscard]] const char* Data() const { return Text().data(); }

  friend bool operator==(const shared_text& aText, std::string_view aOther)
  {
    return aText.Text() == aOther;
  }

private:
  std::shared_ptr<const std::string> mText;
};

} // namespace persimmon
