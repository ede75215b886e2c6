#include "entry/internal/requestscanner.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace persimmon;
using namespace persimmon::entry;

namespace {

const std::string kHead = "POST /a HTTP/1.1\r\nHost: desk.example\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kNext = "GET /b HTTP/1.1\r\nHost: desk.example\r\n\r\n";

/// Returns whether the scanner takes these bytes when they arrive in parts of this size.
bool
IsSound(const std::string& aBytes, std::size_t aSize)
{
  request_scanner scanner;
  bool isSound = true;
  for (std::size_t i = 0; i < aBytes.size(); i += aSize) {
    isSound = scanner.Feed(std::string_view(aBytes).substr(i, aSize));
  }
  return isSound;
}

/// Returns bytes of all values, for a body.
std::string
RandomBytes(random_source& aRandom, std::size_t aSize)
{
  constexpr std::uint64_t kByteValues = 256;
  std::string bytes;
  for (std::size_t i = 0; i < aSize; ++i) {
    bytes += static_cast<char>(aRandom.Below(kByteValues));
  }
  return bytes;
}

/// Returns a body in chunks, with extensions and trailers at times.
std::string
RandomChunks(random_source& aRandom)
{
  constexpr std::uint64_t kMaxChunkBytes = 40;
  std::string chunks;
  for (std::uint64_t left = aRandom.Below(4); left > 0; --left) {
    const std::size_t size = aRandom.Below(kMaxChunkBytes) + 1;
    const std::string digits = "0123456789aBcDeF";
    chunks += size >= digits.size() ? std::string(1, digits[size / digits.size()]) : "";
    chunks += digits[size % digits.size()];
    chunks += aRandom.Chance(0.3) ? " ;a=\"b c\"\r\n" : "\r\n";
    chunks += RandomBytes(aRandom, size) + "\r\n";
  }
  chunks += aRandom.Chance(0.2) ? "00;x\r\n" : "0\r\n";
  return chunks + (aRandom.Chance(0.3) ? "Content-Length: 7\r\nX: y\r\n\r\n" : "\r\n");
}

/// Returns a request as the standard allows it.
std::string
RandomRequest(random_source& aRandom)
{
  const std::string lineEnd = aRandom.Chance(0.1) ? "\n" : "\r\n";
  std::string head = aRandom.Chance(0.1) ? "\r\n" : "";
  head += "POST /path?a=b%20c HTTP/1." + std::string(aRandom.Chance(0.9) ? "1" : "0") + lineEnd;
  head +=
    "Host: desk.example" + lineEnd + "X-Empty:" + lineEnd + "X-Bytes: \xC3\xA4\t:, " + lineEnd;
  switch (aRandom.Below(3)) {
    case 0:
      return head + lineEnd;
    case 1: {
      const std::string body = RandomBytes(aRandom, aRandom.Below(300));
      return head + "content-length:\t" + std::to_string(body.size()) + " " + lineEnd + lineEnd +
             body;
    }
    default:
      return head + "transfer-ENCODING: Chunked" + lineEnd + lineEnd + RandomChunks(aRandom);
  }
}

} // namespace

// clang-format off
TEST_GROUP(request_scanner){};
// clang-format on

// Guards against a proper request that is taken for a faulty one, wherever reads end.
TEST(request_scanner, ProperRequestsAreSoundHoweverTheyArrive)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    random_source random(seed);
    std::string bytes;
    for (int i = 0; i < 6; ++i) {
      bytes += RandomRequest(random);
    }
    for (const std::size_t size : { std::size_t{ 1 }, random.Below(60) + 2, bytes.size() }) {
      CHECK_TEXT(IsSound(bytes, size), ("seed " + std::to_string(seed)).c_str());
    }
    // The end was found where it is: a fault behind it is one.
    CHECK_TEXT(!IsSound(bytes + "x\r\n", bytes.size()), ("seed " + std::to_string(seed)).c_str());
  }
}

// Guards against bytes in place of a line end, with which others see another end of the request.
TEST(request_scanner, BytesThatAreNoLineEndAreAFaultHoweverTheyArrive)
{
  const std::vector<std::string> faulty = {
    kHead + "\rX" + kNext,
    kHead + "X-Cut: a\rb\r\n\r\n",
    kHead + "X-Cut: a\r\r\n\r\n",
    kChunkedHead + "0\r\n\rX" + kNext,
    kChunkedHead + "0\rX\r\n" + kNext,
    kChunkedHead + "1\rXa\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "1\na\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "1\r\naXX0\r\n\r\n" + kNext,
    kChunkedHead + "1\r\na\n0\r\n\r\n" + kNext,
    kChunkedHead + "1\r\nab\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "1 x\r\na\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "1;\n\r\na\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "1;\x01\r\na\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "-1\r\n\r\n" + kNext,
    kChunkedHead + "0x1\r\na\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "\r\na\r\n0\r\n\r\n" + kNext,
    kChunkedHead + "10000000000000000\r\na\r\n0\r\n\r\n" + kNext,
    kHead + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + kNext,
    "GET /a\r\n\r\n" + kNext,
    "GET /a HTTP/2.0\r\n\r\n" + kNext,
  };
  for (const std::string& bytes : faulty) {
    for (const std::size_t size : { std::size_t{ 1 }, std::size_t{ 7 }, bytes.size() }) {
      CHECK_TEXT(!IsSound(bytes, size), bytes.c_str());
    }
  }
}

// Guards against a line without end that fills the memory.
TEST(request_scanner, LineWithoutEndIsAFault)
{
  request_scanner scanner;
  const std::string part(4096, 'x');
  int parts = 0;
  while (scanner.Feed(part)) {
    ++parts;
    CHECK(parts < 100);
  }
}
