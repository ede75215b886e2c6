#include "base/sharedjsonlist.h"

#include <algorithm>

namespace persimmon {
namespace {

constexpr std::size_t kNotFound = json_scanner::kNotFound;

/// Splits one text; holds the position up to which it has been read.
class list_splitter
{
public:
  list_splitter(std::string_view aText, const shared_list_form& aForm)
    : mText(aText)
    , mScanner(aText)
    , mForm(aForm)
  {
  }

  std::optional<shared_json_list> Split()
  {
    if (!mScanner.IsNext('{', 0)) {
      return std::nullopt;
    }
    mPosition = mScanner.SkipBlanks(0) + 1;
    do {
      if (!ReadMember()) {
        return std::nullopt;
      }
    } while (Take(','));
    if (!mHasList || !Take('}') || mScanner.SkipBlanks(mPosition) != mText.size()) {
      return std::nullopt;
    }
    return std::move(mFound);
  }

private:
  /// Steps over a character if it is the next one that is no white space.
  bool Take(char aCharacter)
  {
    if (!mScanner.IsNext(aCharacter, mPosition)) {
      return false;
    }
    mPosition = mScanner.SkipBlanks(mPosition) + 1;
    return true;
  }

  bool ReadMember()
  {
    const std::size_t quote = mScanner.SkipBlanks(mPosition);
    mPosition = mScanner.EndOfName(mPosition);
    if (mPosition == kNotFound) {
      return false;
    }
    const std::size_t nameEnd = mScanner.EndOfString(quote) - 1;
    const std::string_view name = mText.substr(quote + 1, nameEnd - quote - 1);
    if (name == mForm.listName && !mHasList && mScanner.IsNext('[', mPosition)) {
      mHasList = true;
      return ReadItems();
    }
    const std::size_t begin = mScanner.SkipBlanks(mPosition);
    mPosition = mScanner.EndOfValue(begin);
    if (mPosition == kNotFound) {
      return false;
    }
    mFound.others.push_back({ name, mText.substr(begin, mPosition - begin) });
    return true;
  }

  bool ReadItems()
  {
    Take('[');
    if (Take(']')) {
      return true;
    }
    while (true) {
      const std::size_t begin = mScanner.SkipBlanks(mPosition);
      const std::size_t end = EndOfItem(begin);
      if (end == kNotFound) {
        return false;
      }
      mFound.items.push_back(mText.substr(begin, end - begin));
      mPosition = end;
      if (Take(']')) {
        return true;
      }
      Take(',');
    }
  }

  /// Returns the position behind the item that starts at aBegin; kNotFound when neither its own end
  /// nor another item nor the end of the list is found.
  [[nodiscard]] std::size_t EndOfItem(std::size_t aBegin) const
  {
    const std::size_t end = mScanner.EndOfValue(aBegin);
    if (end != kNotFound && MayEndItem(mScanner.SkipBlanks(end))) {
      return end;
    }
    // Nothing in a text that has ended early tells where the list ends.
    if (mScanner.IsCutOff(aBegin) ||
        (end != kNotFound && mScanner.SkipBlanks(end) == mText.size())) {
      return kNotFound;
    }
    for (std::size_t at = aBegin; at < mText.size(); ++at) {
      const bool isEnd = (mText[at] == ',' && IsItem(mScanner.SkipBlanks(at + 1))) ||
                         (mText[at] == ']' && IsEndOfObject(at + 1));
      if (isEnd) {
        return at;
      }
    }
    return kNotFound;
  }

  /// Returns whether an item of sound structure can end before a position: another object follows
  /// there, or the end of the list.
  [[nodiscard]] bool MayEndItem(std::size_t aAt) const
  {
    return (mScanner.IsNext(',', aAt) && mScanner.IsNext('{', aAt + 1)) ||
           (mScanner.IsNext(']', aAt) && IsEndOfObject(aAt + 1));
  }

  /// Returns whether a whole item with the member of all items starts at a position, and another
  /// one or the end of the list follows.
  [[nodiscard]] bool IsItem(std::size_t aStart) const
  {
    if (!mScanner.IsNext('{', aStart)) {
      return false;
    }
    const std::size_t end = mScanner.EndOfValue(aStart);
    if (end == kNotFound || !(mScanner.IsNext(',', end) || mScanner.IsNext(']', end))) {
      return false;
    }
    const json_members members = SplitJsonObject(mText.substr(aStart, end - aStart));
    return members.isWhole && members.Find(mForm.itemMember).starts_with('{');
  }

  /// Returns whether nothing but whole members and the end of the object follow.
  [[nodiscard]] bool IsEndOfObject(std::size_t aStart) const
  {
    std::size_t position = aStart;
    while (mScanner.IsNext(',', position)) {
      position = mScanner.EndOfName(mScanner.SkipBlanks(position) + 1);
      position =
        position == kNotFound ? kNotFound : mScanner.EndOfValue(mScanner.SkipBlanks(position));
      if (position == kNotFound) {
        return false;
      }
    }
    return mScanner.IsNext('}', position) &&
           mScanner.SkipBlanks(mScanner.SkipBlanks(position) + 1) == mText.size();
  }

  std::string_view mText;
  json_scanner mScanner;
  const shared_list_form& mForm;
  std::size_t mPosition = 0;
  bool mHasList = false;
  shared_json_list mFound;
};

} // namespace

std::optional<shared_json_list>
SplitSharedList(std::string_view aText, const shared_list_form& aForm)
{
  return list_splitter(aText, aForm).Split();
}

} // namespace persimmon
