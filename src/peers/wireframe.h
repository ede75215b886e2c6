#pragma once

#include "base/failurereason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon::peers {

/// Layout of frames; a frame of another layout closes its link.
constexpr std::uint64_t kFrameLayout = 1;
/// Largest frame: the platform's largest value and room for its envelope, in bytes.
constexpr std::size_t kMaxFrameBytes = (1U << 20U) + 4096;
/// Most records in one frame.
constexpr std::size_t kMaxFrameRecords = 8192;
/// Most names that one frame introduces.
constexpr std::size_t kMaxFrameNames = 8192;
/// Longest name of anything, in bytes.
constexpr std::size_t kMaxNameBytes = 256;

/// What a record is; the numbers stand on the wire.
enum class record_kind : std::uint8_t
{
  hello = 1,
  member = 2,
  summary = 3,
  announce = 4,
  pull = 5,
  body = 6,
  presence = 7,
  leaving = 8,
  suspect = 9,
  share = 10,
  applied = 11,
  applied_hash = 12,
  prune = 13,
  graft = 14
};

using wire_value = std::variant<std::uint64_t, std::string>;

/// One record: its kind and its fields in a fixed order. Readers ignore fields beyond those they
/// know.
struct wire_record
{
  std::uint64_t kind = 0;
  std::vector<wire_value> fields;

  bool operator==(const wire_record&) const = default;
};

/// What one message of a link carries. Names are numbered per link in the order of their
/// introduction; records then name things by number.
struct wire_frame
{
  std::vector<std::string> names;
  std::vector<wire_record> records;

  bool operator==(const wire_frame&) const = default;
};

enum class frame_error
{
  none,
  too_large,
  not_cbor,
  bad_structure,
  other_layout
};

using frame_reason = failure_reason<frame_error>;

/// Returns the frame as CBOR: `[layout, [names...], [kind, fields...]...]`.
std::string
EncodeFrame(const wire_frame& aFrame);

/// Parses a frame within the bounds above. Nested values inside a record are ignored.
std::optional<wire_frame>
DecodeFrame(std::string_view aBytes, frame_reason& aReason);

/// Bytes that a record takes in a frame.
std::size_t
EncodedSize(const wire_record& aRecord);

} // namespace persimmon::peers
