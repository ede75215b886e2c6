#include "base/responseheadreader.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

namespace {

/// Reads lines that are separated by line feeds.
response_head_reader
Read(std::string_view aText)
{
  response_head_reader reader;
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const std::size_t size = end == std::string_view::npos ? aText.size() : end + 1;
    if (!reader.Add(aText.substr(0, size))) {
      break;
    }
    aText.remove_prefix(size);
  }
  return reader;
}

} // namespace

// clang-format off
TEST_GROUP(response_head_reader)
{
};
// clang-format on

TEST(response_head_reader, ReadsStatusAndHeaders)
{
  response_head_reader reader = Read("HTTP/1.1 200 OK\r\nContent-Length:  5\t\r\nX:\r\n\r\n");
  CHECK(reader.IsComplete());
  STRCMP_EQUAL("", reader.Fault().c_str());
  LONGS_EQUAL(200, reader.Status());
  LONGS_EQUAL(2, reader.Headers().size());
  STRCMP_EQUAL("5", reader.Headers().front().value.c_str());
}

TEST(response_head_reader, HeadIsCompleteOnlyBehindItsEmptyLine)
{
  CHECK(!Read("HTTP/1.1 200 OK\r\nX: 1\r\n").IsComplete());
  CHECK(!Read("HTTP/1.1 100 Continue\r\n\r\n").IsComplete());
}

TEST(response_head_reader, FormsThatAServerMayUseAreAccepted)
{
  for (const char* head : { "HTTP/1.1 200\r\n\r\n",
                            "HTTP/1.1 200 \r\n\r\n",
                            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
                            "HTTP/1.1 200 OK\nContent-Length: 5\n\n",
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
                            "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                            "HTTP/1.1 304 Not Modified\r\nContent-Length: 817\r\n\r\n",
                            "HTTP/1.1 200 \tfine (\344\366) \r\n\r\n",
                            "HTTP/1.1 599 ?\r\n\r\n" }) {
    const response_head_reader reader = Read(head);
    STRCMP_EQUAL("", reader.Fault().c_str());
    CHECK_TEXT(reader.IsComplete(), head);
  }
}

TEST(response_head_reader, FinalHeadFollowsInterimOnes)
{
  response_head_reader reader =
    Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
         "HTTP/1.1 503 Full\r\nX: 1\r\n\r\n");
  CHECK(reader.IsComplete());
  LONGS_EQUAL(503, reader.Status());
  LONGS_EQUAL(1, reader.Headers().size());
}

TEST(response_head_reader, TrailersAreNoHeaders)
{
  response_head_reader reader =
    Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 3\r\nX: 1\r\n\r\n");
  STRCMP_EQUAL("", reader.Fault().c_str());
  LONGS_EQUAL(1, reader.Headers().size());
}

// Guards against a body that is taken for trailers behind a chunk whose size was spoilt to 0.
TEST(response_head_reader, TrailerThatIsNoFieldIsAFault)
{
  CHECK(!Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nabcdef\r\n").Fault().empty());
}

TEST(response_head_reader, StatusLineOfAnotherFormIsAFault)
{
  for (const char* line : { "HTTP/1.1 20x OK",
                            "HTTP/1.1 200OK",
                            "HTTP/1.1 2000 OK",
                            "HTTP/1.1 20",
                            "HTTP/1.1 ",
                            "HTTP/1.1",
                            "HTTP/1.1  200 OK",
                            "HTTP/1.1\t200 OK",
                            " HTTP/1.1 200 OK",
                            "HTTP/1.1 +20 OK",
                            "HTTP/1.1 099 OK",
                            "HTTP/1.1 600 OK",
                            "HTTP/1.1 101 Switching Protocols",
                            "HTTP/1.x 200 OK",
                            "HTTP/1.12 200 OK",
                            "HTTP/2 200 OK",
                            "http/1.1 200 OK",
                            "ICY 200 OK",
                            "" }) {
    const response_head_reader reader = Read(std::string(line) + "\r\nContent-Length: 0\r\n\r\n");
    CHECK_TEXT(!reader.Fault().empty(), line);
    CHECK_TEXT(!reader.IsComplete(), line);
  }
}

// RFC 9112, 4 allows neither, and a reader that ends lines at a carriage return finds fields there.
TEST(response_head_reader, ControlByteInTheReasonPhraseIsAFault)
{
  using namespace std::string_literals;
  for (const std::string& line : { "HTTP/1.1 200 O\001K"s,
                                   "HTTP/1.1 200 O\0K"s,
                                   "HTTP/1.1 200 OK\177"s,
                                   "HTTP/1.1 200 O\rK"s,
                                   "HTTP/1.1 200 OK\r"s,
                                   "HTTP/1.1 100 \033"s }) {
    const response_head_reader reader = Read(line + "\r\nContent-Length: 0\r\n\r\n");
    CHECK_TEXT(!reader.Fault().empty(), line.c_str());
    CHECK_TEXT(!reader.IsComplete(), line.c_str());
  }
}

TEST(response_head_reader, HeaderLineOfAnotherFormIsAFault)
{
  for (const char* line : { "Content-Length 5",
                            "Content-Length : 5",
                            "X: 1\r\n Content-Length: 5",
                            "X: 1\r\n\tfolded",
                            ": 5",
                            "Content-Length: 5\r",
                            "X: 1\rContent-Length: 5",
                            "\r",
                            " ",
                            "HTTP/1.1 200 OK" }) {
    const response_head_reader reader =
      Read("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\n\r\n");
    CHECK_TEXT(!reader.Fault().empty(), line);
  }
}

TEST(response_head_reader, InterimResponseWithABodyIsAFault)
{
  CHECK(!Read("HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n").Fault().empty());
}

TEST(response_head_reader, TransferCodingOfTheFirstVersionIsAFault)
{
  CHECK(!Read("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").Fault().empty());
}

TEST(response_head_reader, FaultNamesTheLine)
{
  STRCMP_EQUAL("invalid content length, at: Content-Length: 8:7",
               Read("HTTP/1.1 200 OK\r\nContent-Length: 8:7\r\n").Fault().c_str());
}
