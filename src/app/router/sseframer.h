#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon::router {

/// Cuts a stream of server-sent events into whole events, so that a stream that breaks off can be
/// resumed after a whole token. Events are not parsed.
class sse_framer
{
public:
  /// Takes bytes as they come and returns the whole events that they complete, without the event
  /// that marks the end. The result is valid until the next call and until aBytes goes.
  std::string_view Accept(std::string_view aBytes);
  /// Forgets an event that has not come whole.
  void DropPartial();

  /// Bytes of an event that has not come whole.
  [[nodiscard]] std::size_t PartialBytes() const { return mPartial.size(); }
  /// Data events returned so far; an engine sends one for each token.
  [[nodiscard]] std::uint64_t Events() const { return mEvents; }
  /// The event that marks the end, `data: [DONE]`, has come.
  [[nodiscard]] bool SawEnd() const { return mSawEnd; }

private:
  /// Returns the length of the whole events that are to be passed on.
  std::size_t Scan(std::string_view aBytes);

  std::string mPartial;
  std::string mOut;
  std::uint64_t mEvents = 0;
  bool mSawEnd = false;
};

} // namespace persimmon::router
