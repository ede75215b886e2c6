#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::gateway {

/// Splits a stream of server-sent events into complete events and parses their ids, so that an
/// interrupted stream can be resumed after its last complete event. An event ends with a blank
/// line; lines end with LF or CRLF.
class event_framer
{
public:
  /// Appends received bytes and returns the events that they complete. Events with an id up to the
  /// last one, and all events from a gap on, are left out. The result is valid until the next call.
  std::string_view Feed(std::string_view aBytes);
  /// Discards an incomplete event, as before the stream resumes from another upstream.
  void DiscardPartial()
  {
    mPartial.clear();
    mSearched = 0;
    mLineStart = 0;
  }
  /// Sets the last event that the caller already has; nothing for none.
  void StartAfter(std::optional<std::uint64_t> aId) { mLastEventId = aId; }

  /// Makes each event but comments need an id: in a stream that another server goes on with, what
  /// has none is no part of it, such as an error. Events from the first one without on are left
  /// out.
  void RequireIds() { mRequiresIds = true; }
  /// True when an event without the id that it needs has come.
  [[nodiscard]] bool HasForeignEvent() const { return mHasForeignEvent; }
  /// Id of the last complete event, or of the resume point; nothing when there is none.
  [[nodiscard]] std::optional<std::uint64_t> LastEventId() const { return mLastEventId; }
  /// Number of events returned so far.
  [[nodiscard]] std::uint64_t EventCount() const { return mEventCount; }
  /// True when bytes of an incomplete event are buffered.
  [[nodiscard]] bool HasPartial() const { return !mPartial.empty(); }
  /// Bytes of the incomplete event that are buffered.
  [[nodiscard]] std::size_t PartialBytes() const { return mPartial.size(); }
  /// False once an event with data and without an id was returned: a stream that is resumed after
  /// the last id would bring it again.
  [[nodiscard]] bool IsResumable() const { return !mHasUnnumberedData; }
  /// True when at least one event id was skipped, so that the stream cannot be resumed without
  /// loss.
  [[nodiscard]] bool HasGap() const { return mHasGap; }

private:
  void AppendEvent(std::string_view aEvent);

  std::string mPartial;
  /// Bytes of mPartial that hold no further end of a line.
  std::size_t mSearched = 0;
  /// Begin of the last line of mPartial, whose end has not come.
  std::size_t mLineStart = 0;
  std::string mCompleted;
  std::optional<std::uint64_t> mLastEventId;
  std::uint64_t mEventCount = 0;
  bool mHasGap = false;
  bool mRequiresIds = false;
  bool mHasForeignEvent = false;
  bool mHasUnnumberedData = false;
};

} // namespace persimmon::gateway
