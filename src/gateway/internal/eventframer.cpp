#include "gateway/eventframer.h"

#include <algorithm>
#include <charconv>

namespace persimmon::gateway {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";

/// Returns the id of an event; nothing when it has no numeric id.
std::optional<std::uint64_t>
ParseEventId(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id = 0;
    const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
    return result.ec == std::errc() ? std::optional(id) : std::nullopt;
  }
  return std::nullopt;
}

/// Returns whether an event has data, as a comment has not.
bool
HasData(std::string_view aEvent)
{
  return aEvent.starts_with(kDataField) || aEvent.find("\ndata") != std::string_view::npos;
}

/// Returns whether all lines of an event are comments or blank.
bool
IsComment(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    const std::string_view line = aEvent.substr(start, end - start);
    if (!line.starts_with(':') && !line.empty() && line != "\r") {
      return false;
    }
    start = end + 1;
  }
  return true;
}

/// Returns whether a line without its line feed is blank; lines end with a line feed, with or
/// without a carriage return before it.
bool
IsBlankLine(std::string_view aLine)
{
  return aLine.empty() || aLine == "\r";
}

} // namespace

void
event_framer::AppendEvent(std::string_view aEvent)
{
  const auto id = ParseEventId(aEvent);
  if (id && mLastEventId && *id <= *mLastEventId) {
    return;
  }
  mHasGap = mHasGap || (id && mLastEventId && *id > *mLastEventId + 1);
  mHasForeignEvent = mHasForeignEvent || (mRequiresIds && !id && !IsComment(aEvent));
  if (mHasGap || mHasForeignEvent) {
    return;
  }
  if (id) {
    mLastEventId = id;
  } else if (HasData(aEvent)) {
    mHasUnnumberedData = true;
  }
  ++mEventCount;
  mCompleted.append(aEvent);
}

std::string_view
event_framer::Feed(std::string_view aBytes)
{
  mCompleted.clear();
  mPartial.append(aBytes);
  std::size_t start = 0;
  std::size_t end = mPartial.find('\n', mSearched);
  while (end != std::string::npos) {
    const std::size_t next = end + 1;
    if (IsBlankLine(std::string_view(mPartial).substr(mLineStart, end - mLineStart))) {
      AppendEvent(std::string_view(mPartial).substr(start, next - start));
      start = next;
    }
    mLineStart = next;
    end = mPartial.find('\n', next);
  }
  mPartial.erase(0, start);
  mLineStart -= start;
  mSearched = mPartial.size();
  return mCompleted;
}

} // namespace persimmon::gateway
