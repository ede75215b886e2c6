#include "entry/internal/requestframing.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::entry;

// clang-format off
TEST_GROUP(request_framing)
{
  static bool IsSound(const std::vector<server_header>& aHeaders)
  {
    return FindFramingFault(aHeaders).empty();
  }
};
// clang-format on

TEST(request_framing, UsualHeadersAreSound)
{
  CHECK(IsSound({}));
  CHECK(IsSound({ { "Host", "desk.example" }, { "Content-Length", "17" }, { "X-Empty", "" } }));
  CHECK(IsSound({ { "transfer-encoding", "Chunked" }, { "sec-ch-ua", "\"a\";v=\"1\", b" } }));
  CHECK(IsSound({ { "!#$%&'*+-.^_`|~09azAZ", "x" } }));
}

TEST(request_framing, NameThatIsNoTokenIsAFault)
{
  for (const char* name :
       { "Host ", " Host", "Ho st", "", "Host\t", "Host:", "H\x7Fst", "H\xC3st" }) {
    CHECK_TEXT(!IsSound({ { name, "x" } }), name);
  }
}

TEST(request_framing, ContentLengthThatIsNoNumberIsAFault)
{
  for (const char* length : { "", " ", "1 2", "1,1", "+1", "0x1" }) {
    CHECK_TEXT(!IsSound({ { "content-length", length } }), length);
  }
}

TEST(request_framing, TransferCodingOtherThanChunkedAloneIsAFault)
{
  for (const char* coding :
       { "", "identity", "gzip, chunked", "chunked, identity", "chunked,chunked" }) {
    CHECK_TEXT(!IsSound({ { "Transfer-Encoding", coding } }), coding);
  }
  CHECK(!IsSound({ { "Transfer-Encoding", "chunked" }, { "transfer-encoding", "chunked" } }));
}
