#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace persimmon {

/// Returns whether a part of a line holds a byte that no such part may hold: all control bytes but
/// the tab (RFC 9110, 5.5; RFC 9112, 4).
bool
HasControlByte(std::string_view aText);

/// Returns why a header field must not be passed on: its name is no token, or its value holds a
/// control byte (RFC 9110, 5.1 and 5.5). Empty when it may.
std::string_view
FindFieldFault(std::string_view aName, std::string_view aValue);

/// Reads from the header fields of one HTTP message how its body is framed, without tolerance: a
/// recipient that guesses takes a part of a body for the whole, or bytes of it for the next message
/// (RFC 9112, 5.1 and 6.3).
class message_framing
{
public:
  /// Takes in the next field, with its value trimmed. Returns why the framing of the message is in
  /// doubt; empty while it is not.
  std::string_view Add(std::string_view aName, std::string_view aValue);
  /// Returns whether the message has a length or a transfer coding.
  [[nodiscard]] bool IsFramed() const { return mLength.has_value() || mIsChunked; }
  [[nodiscard]] bool IsChunked() const { return mIsChunked; }

private:
  std::string_view AddLength(std::string_view aValue);
  std::string_view AddTransferCoding(std::string_view aValue);

  /// Length of the body in bytes.
  std::optional<std::uint64_t> mLength;
  bool mIsChunked = false;
};

} // namespace persimmon
