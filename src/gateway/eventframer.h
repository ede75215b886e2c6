#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon::gateway {

/// Cuts a stream of server-sent events into whole events and reads their ids, so that a stream
/// that breaks off can go on after its last whole event.
class event_framer
{
public:
  /// Takes bytes as they come and returns the whole events that they complete. Events that do not
  /// follow the last one are left out. The result is valid until the next call.
  std::string_view Feed(std::string_view aBytes);
  /// Forgets an event that has not come whole, as before the stream goes on elsewhere.
  void DiscardPartial() { mPartial.clear(); }
  /// Begins after an event that the caller holds already.
  void StartAfter(std::optional<std::uint64_t> aId) { mLastEventId = aId; }

  /// Id of the last whole event.
  [[nodiscard]] std::optional<std::uint64_t> LastEventId() const { return mLastEventId; }
  /// Whole events passed on.
  [[nodiscard]] std::uint64_t EventCount() const { return mEventCount; }
  /// Bytes of an event that is not whole are held back.
  [[nodiscard]] bool HasPartial() const { return !mPartial.empty(); }
  /// An event was left out between the last one and the next: the stream cannot be joined.
  [[nodiscard]] bool HasGap() const { return mHasGap; }

private:
  void AppendEvent(std::string_view aEvent);

  std::string mPartial;
  std::string mCompleted;
  std::optional<std::uint64_t> mLastEventId;
  std::uint64_t mEventCount = 0;
  bool mHasGap = false;
};

} // namespace persimmon::gateway
