#include "peers/wireframe.h"

#include <nlohmann/json.hpp>

namespace persimmon::peers {
namespace {

constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kMaxFields = 64;
// Exclusive upper limits of the argument sizes that CBOR's initial byte distinguishes (RFC 8949,
// section 3).
constexpr std::uint64_t kOneByteLimit = 24;
constexpr std::uint64_t kTwoByteLimit = 1U << 8U;
constexpr std::uint64_t kThreeByteLimit = 1U << 16U;
constexpr std::uint64_t kFiveByteLimit = 1ULL << 32U;

std::size_t
SizeOfHead(std::uint64_t aArgument)
{
  if (aArgument < kOneByteLimit) {
    return 1;
  }
  if (aArgument < kTwoByteLimit) {
    return 2;
  }
  if (aArgument < kThreeByteLimit) {
    return 3;
  }
  return aArgument < kFiveByteLimit ? 5 : 9;
}

/// Builds a frame from SAX parser events without an intermediate tree and stops the parser as soon
/// as a bound is exceeded. The function names are those of the library's SAX interface.
// NOLINTBEGIN(readability-identifier-naming)
class frame_builder
{
public:
  using json = nlohmann::json;

  wire_frame frame;
  frame_reason error;

  bool null() { return OnUnsupported(); }
  bool boolean(bool aValue) { return OnNumber(aValue ? 1 : 0); }
  bool number_integer(json::number_integer_t) { return OnUnsupported(); }
  bool number_unsigned(json::number_unsigned_t aValue) { return OnNumber(aValue); }
  bool number_float(json::number_float_t, const json::string_t&) { return OnUnsupported(); }
  bool string(json::string_t& aValue) { return OnText(aValue); }
  bool binary(json::binary_t&) { return OnUnsupported(); }
  bool start_object(std::size_t) { return OnStart(false); }
  bool key(json::string_t&) { return true; }
  bool end_object() { return OnEnd(); }
  bool start_array(std::size_t) { return OnStart(true); }
  bool end_array() { return OnEnd(); }
  bool parse_error(std::size_t, const std::string&, const json::exception& aError)
  {
    if (error.code == frame_error::none) {
      error = { frame_error::not_cbor, aError.what() };
    }
    return false;
  }

  bool CheckComplete()
  {
    return mElementIndex >= 2 || Fail(frame_error::bad_structure, "frame too short");
  }

private:
  bool Fail(frame_error aError, const char* aDetail)
  {
    error = { aError, aDetail };
    return false;
  }

  bool OnStart(bool aArray)
  {
    ++mDepth;
    if (mDepth > kMaxDepth) {
      return Fail(frame_error::bad_structure, "nested too deeply");
    }
    if (mDepth <= 2 && !aArray) {
      return Fail(frame_error::bad_structure, "an object where an array is expected");
    }
    if (mDepth == 2) {
      return StartElement();
    }
    if (mDepth == 3 && mElementIndex >= 2) {
      return AddField(wire_value{ std::uint64_t{ 0 } });
    }
    return true;
  }

  bool StartElement()
  {
    if (mElementIndex == 0) {
      return Fail(frame_error::bad_structure, "no layout number");
    }
    if (mElementIndex == 1) {
      return true;
    }
    if (frame.records.size() >= kMaxFrameRecords) {
      return Fail(frame_error::too_large, "too many records");
    }
    frame.records.emplace_back();
    mHasKind = false;
    return true;
  }

  bool OnEnd()
  {
    if (mDepth == 2) {
      ++mElementIndex;
    }
    --mDepth;
    return true;
  }

  bool OnNumber(std::uint64_t aValue)
  {
    if (mDepth == 1) {
      return CheckLayout(aValue);
    }
    if (mDepth == 2 && mElementIndex >= 2) {
      return AddField(wire_value{ aValue });
    }
    return mDepth > 2 || Fail(frame_error::bad_structure, "a number where a name is expected");
  }

  bool CheckLayout(std::uint64_t aValue)
  {
    if (mElementIndex != 0) {
      return Fail(frame_error::bad_structure, "a number where a record is expected");
    }
    ++mElementIndex;
    return aValue == kFrameLayout || Fail(frame_error::other_layout, "unknown layout");
  }

  bool OnText(std::string& aValue)
  {
    if (mDepth == 2 && mElementIndex == 1) {
      if (aValue.size() > kMaxNameBytes || frame.names.size() >= kMaxFrameNames) {
        return Fail(frame_error::too_large, "too many or too long names");
      }
      frame.names.push_back(std::move(aValue));
      return true;
    }
    if (mDepth == 2) {
      return AddField(wire_value{ std::move(aValue) });
    }
    return mDepth > 2 || Fail(frame_error::bad_structure, "a text where an array is expected");
  }

  /// Replaces a value of a type that no field uses by 0, so that later fields keep their positions.
  bool OnUnsupported()
  {
    if (mDepth == 2 && mElementIndex >= 2) {
      return AddField(wire_value{ std::uint64_t{ 0 } });
    }
    return mDepth > 2 || Fail(frame_error::bad_structure, "a value of an unexpected type");
  }

  bool AddField(wire_value aValue)
  {
    wire_record& record = frame.records.back();
    if (!mHasKind) {
      const auto* kind = std::get_if<std::uint64_t>(&aValue);
      if (kind == nullptr) {
        return Fail(frame_error::bad_structure, "a record without a kind");
      }
      record.kind = *kind;
      mHasKind = true;
      return true;
    }
    if (record.fields.size() >= kMaxFields) {
      return Fail(frame_error::too_large, "too many fields");
    }
    record.fields.push_back(std::move(aValue));
    return true;
  }

  std::size_t mDepth = 0;
  std::size_t mElementIndex = 0;
  bool mHasKind = false;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::string
EncodeFrame(const wire_frame& aFrame)
{
  nlohmann::json value = nlohmann::json::array({ kFrameLayout, aFrame.names });
  for (const wire_record& record : aFrame.records) {
    nlohmann::json fields = nlohmann::json::array({ record.kind });
    for (const wire_value& field : record.fields) {
      std::visit([&fields](const auto& aValue) { fields.push_back(aValue); }, field);
    }
    value.push_back(std::move(fields));
  }
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

std::optional<wire_frame>
DecodeFrame(std::string_view aBytes, frame_reason& aReason)
{
  if (aBytes.size() > kMaxFrameBytes) {
    aReason = { frame_error::too_large, "frame too large" };
    return std::nullopt;
  }
  frame_builder builder;
  const bool parsed = nlohmann::json::sax_parse(
    aBytes.begin(), aBytes.end(), &builder, nlohmann::json::input_format_t::cbor);
  if (!parsed || !builder.CheckComplete()) {
    aReason = builder.error;
    return std::nullopt;
  }
  aReason = {};
  return std::move(builder.frame);
}

std::size_t
EncodedSize(const wire_record& aRecord)
{
  std::size_t size = SizeOfHead(aRecord.fields.size() + 1) + SizeOfHead(aRecord.kind);
  for (const wire_value& field : aRecord.fields) {
    if (const auto* text = std::get_if<std::string>(&field)) {
      size += SizeOfHead(text->size()) + text->size();
    } else {
      size += SizeOfHead(std::get<std::uint64_t>(field));
    }
  }
  return size;
}

} // namespace persimmon::peers
