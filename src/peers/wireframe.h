#pragma once

#include "base/failurereason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmon::peers {

/// Version of the frame layout; a frame with another layout closes its link.
constexpr std::uint64_t kFrameLayout = 1;
/// Maximum size of a frame in bytes: the platform's largest value plus space for its envelope.
constexpr std::size_t kMaxFrameBytes = (1U << 20U) + 4096;
/// Maximum number of records in a frame.
constexpr std::size_t kMaxFrameRecords = 8192;
/// Maximum number of names that a frame introduces.
constexpr std::size_t kMaxFrameNames = 8192;
/// Maximum length of a name in bytes.
constexpr std::size_t kMaxNameBytes = 256;

/// Type of a record. The numbers are part of the wire format.
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
  // 9 was a suspect request of earlier versions and is not used again.
  customer_load = 10,
  applied = 11,
  applied_hash = 12,
  prune = 13,
  graft = 14,
  crash = 15,
  quarantine = 16,
  rate_limit = 17,
  store_position = 18,
  model_load = 19
};

/// Value of a field.
using wire_value = std::variant<std::uint64_t, std::string>;

/// A record: its kind and its fields in a fixed order. Readers ignore additional fields at the
/// end, which later versions may add.
struct wire_record
{
  std::uint64_t kind = 0;
  std::vector<wire_value> fields;

  bool operator==(const wire_record&) const = default;
};

/// Content of one websocket message. Names are numbered per link in the order in which they are
/// introduced; records refer to them by number.
struct wire_frame
{
  std::vector<std::string> names;
  std::vector<wire_record> records;

  bool operator==(const wire_frame&) const = default;
};

/// Why a frame could not be decoded.
enum class frame_error
{
  none,
  too_large,
  not_cbor,
  bad_structure,
  other_layout
};

using frame_reason = failure_reason<frame_error>;

/// Encodes a frame as CBOR: `[layout, [names...], [kind, fields...]...]`.
std::string
EncodeFrame(const wire_frame& aFrame);

/// Parses a frame and enforces the bounds above. A nested value in a record counts as a field with
/// the value 0; its content is ignored. On failure returns nothing and sets aReason.
std::optional<wire_frame>
DecodeFrame(std::string_view aBytes, frame_reason& aReason);

/// Returns the encoded size of a record in a frame, in bytes.
std::size_t
EncodedSize(const wire_record& aRecord);

} // namespace persimmon::peers
