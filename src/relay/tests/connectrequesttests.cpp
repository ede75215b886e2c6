#include "relay/internal/connectrequest.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::relay;

// clang-format off
TEST_GROUP(connect_request)
{
  connect_request request;
};
// clang-format on

TEST(connect_request, ReadsTheUpstreamAndTheCredentials)
{
  const std::string text =
    "CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: 10.0.0.1:80\r\nProxy-Authorization: Bearer key\r\n\r\n";
  CHECK(request.Feed(text) == request_state::complete);
  STRCMP_EQUAL("10.0.0.1:80", request.Upstream().value.c_str());
  STRCMP_EQUAL("Bearer key", request.Credentials().c_str());
}

TEST(connect_request, ReadsARequestInPieces)
{
  const std::string text =
    "CONNECT 10.0.0.1:80 HTTP/1.1\r\nProxy-Authorization: Bearer key\r\nHost: h\r\n\r\n";
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    CHECK(request.Feed(text.substr(i, 1)) == request_state::incomplete);
  }
  CHECK(request.Feed("\n") == request_state::complete);
  STRCMP_EQUAL("Bearer key", request.Credentials().c_str());
}

TEST(connect_request, OtherMethodsAreInvalid)
{
  CHECK(request.Feed("GET / HTTP/1.1\r\nHost: h\r\n\r\n") == request_state::invalid);
}

TEST(connect_request, BytesThatAreNoRequestAreInvalid)
{
  CHECK(request.Feed("\x16\x03\x01\x02") == request_state::invalid);
}

TEST(connect_request, EndlessHeadIsInvalid)
{
  request_state state = request.Feed("CONNECT 10.0.0.1:80 HTTP/1.1\r\nX: ");
  for (std::size_t i = 0; i < kMaxRequestBytes / 100 + 1; ++i) {
    state = request.Feed(std::string(100, 'x'));
  }
  CHECK(state == request_state::invalid);
}
