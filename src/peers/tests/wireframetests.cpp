#include "peers/wireframe.h"

#include "base/random.h"
#include "peers/meshcore.h"
#include "peers/recordcodec.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <nlohmann/json.hpp>

using namespace persimmon;
using namespace persimmon::peers;

namespace {

constexpr std::uint64_t kSeed = 20261203;
constexpr int kFuzzRounds = 20000;

std::string
SampleFrame()
{
  wire_frame frame;
  record_codec codec;
  for (int i = 0; i < 20; ++i) {
    const presence_message presence{ { "group-" + std::to_string(i) }, { 3 }, { "r1" }, {}, true };
    frame.records.push_back(codec.Encode(versioned_message{ presence, 7, {} }, { 100 }, frame));
  }
  const document_message document{ { "service" }, { 12 }, "{\"service\":\"x\"}" };
  frame.records.push_back(codec.Encode(versioned_message{ document, 12, {} }, { 100 }, frame));
  return EncodeFrame(frame);
}

std::string
Mutate(std::string aBytes, random_source& aRandom)
{
  const std::uint64_t changes = 1 + aRandom.Below(8);
  for (std::uint64_t i = 0; i < changes && !aBytes.empty(); ++i) {
    const std::size_t at = aRandom.Below(aBytes.size());
    switch (aRandom.Below(4)) {
      case 0:
        aBytes[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aBytes.erase(at, 1 + aRandom.Below(16));
        break;
      case 2:
        aBytes.insert(at, 1 + aRandom.Below(4), static_cast<char>(aRandom.Below(256)));
        break;
      default:
        aBytes.resize(at);
    }
  }
  return aBytes;
}

bool
IsDecodable(const std::string& aBytes)
{
  frame_reason error;
  return DecodeFrame(aBytes, error).has_value();
}

std::string
EncodeHello(const std::string& aName, bool aLeaf)
{
  wire_frame frame;
  record_codec codec;
  hello_record hello;
  hello.self.id = { aName };
  hello.leaf = aLeaf;
  frame.records.push_back(codec.Encode(hello));
  return EncodeFrame(frame);
}

} // namespace

// clang-format off
TEST_GROUP(wire_frame)
{
};
// clang-format on

TEST(wire_frame, DecodedFrameEqualsEncodedFrame)
{
  wire_frame frame;
  frame.names = { "one", "" };
  frame.records = { { 7, { 1ULL, std::string("text"), UINT64_MAX } }, { 200, {} } };
  frame_reason error;
  const auto decoded = DecodeFrame(EncodeFrame(frame), error);
  CHECK(decoded.has_value());
  CHECK(*decoded == frame);
}

TEST(wire_frame, EncodedSizeMatchesEncoder)
{
  const wire_record record{ 7,
                            { 1ULL, 24ULL, 256ULL, 70000ULL, UINT64_MAX, std::string(300, 'x') } };
  wire_frame without;
  wire_frame with;
  with.records.push_back(record);
  CHECK_EQUAL(EncodedSize(record), EncodeFrame(with).size() - EncodeFrame(without).size());
}

TEST(wire_frame, RejectsDeepNestingWithoutDeepRecursion)
{
  CHECK_FALSE(IsDecodable(std::string(kMaxFrameBytes, static_cast<char>(0x81))));
}

TEST(wire_frame, RejectsHugeDeclaredSizes)
{
  CHECK_FALSE(IsDecodable(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01\x80", 11)));
  CHECK_FALSE(IsDecodable(std::string("\x82\x01\x81\x7b\x00\x00\x00\xff\xff\xff\xff\xff", 12)));
}

TEST(wire_frame, RejectsFramesAboveLimits)
{
  CHECK_FALSE(IsDecodable(std::string(kMaxFrameBytes + 1, 'x')));
  wire_frame manyNames;
  manyNames.names.resize(kMaxFrameNames + 1);
  CHECK_FALSE(IsDecodable(EncodeFrame(manyNames)));
  wire_frame longName;
  longName.names = { std::string(kMaxNameBytes + 1, 'x') };
  CHECK_FALSE(IsDecodable(EncodeFrame(longName)));
  wire_frame manyRecords;
  manyRecords.records.resize(kMaxFrameRecords + 1);
  CHECK_FALSE(IsDecodable(EncodeFrame(manyRecords)));
}

TEST(wire_frame, RejectsUnknownLayout)
{
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json::array({ 2, nlohmann::json::array() }), bytes);
  frame_reason error;
  CHECK_FALSE(DecodeFrame(bytes, error).has_value());
  CHECK(error.code == frame_error::other_layout);
}

TEST(wire_frame, IgnoresNestedAndAdditionalFields)
{
  const auto value = nlohmann::json::array(
    { 1, nlohmann::json::array({ "i1" }), { 8, 0, 3, 0, { { "new", { 1, 2 } } }, -1, 1.5 } });
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  frame_reason error;
  const auto frame = DecodeFrame(bytes, error);
  CHECK(frame.has_value());
  record_codec codec;
  CHECK(codec.AddNames(*frame));
  const auto entry = codec.ParseMessage(frame->records[0], { 100 });
  CHECK(entry.has_value());
  CHECK(entry->message == mesh_message(leaving_message{ { "i1" }, { 3 } }));
}

TEST(wire_frame, MutatedFramesNeitherCrashNorExceedLimits)
{
  random_source random(kSeed);
  const std::string sample = SampleFrame();
  for (int round = 0; round < kFuzzRounds; ++round) {
    const std::string bytes = Mutate(sample, random);
    frame_reason error;
    const auto frame = DecodeFrame(bytes, error);
    CHECK(frame.has_value() == (error.code == frame_error::none));
    CHECK(!frame || frame->records.size() <= kMaxFrameRecords);
  }
}

TEST(wire_frame, MalformedFramesDoNotAffectOtherLinks)
{
  random_source random(kSeed);
  mesh_options options;
  options.self = { "self" };
  options.address = { "10.0.0.1:1" };
  mesh_core core(options, {});
  core.Handle(link_opened{ { 2 }, false }, { 1 });
  core.Handle(frame_received{ { 2 }, EncodeHello("good", false) }, { 1 });
  const std::string sample = SampleFrame();
  for (std::uint64_t round = 0; round < 2000; ++round) {
    const link_id hostile{ 4 + 2 * round };
    core.Handle(link_opened{ hostile, false }, { 2 });
    core.Handle(frame_received{ hostile, EncodeHello("bad-" + std::to_string(round), true) },
                { 2 });
    core.Handle(frame_received{ hostile, Mutate(sample, random) }, { 2 });
    core.Handle(link_closed{ hostile }, { 2 });
    STRCMP_EQUAL("good", core.PeerOf({ 2 }).value.c_str());
  }
  CHECK(core.Status({ 3 }).counters.badFrames > 100);
}
