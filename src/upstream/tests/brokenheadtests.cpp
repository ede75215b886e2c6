#include "upstream/tests/mocks/rawserver.h"
#include "upstream/tests/mocks/recordedcall.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace persimmon;
using namespace persimmon::upstream;

namespace {

using namespace std::string_literals;

const std::string kHello = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string kTunnelOpen = "HTTP/1.1 200 Connection established\r\n\r\n";

/// Starts of heads that are none of HTTP, of each kind that a broken status line or field has.
const std::vector<std::string> kBrokenStarts = {
  "HTTP/1.1 000 OK\r\n",
  "HTTP/1.1 099 OK\r\n",
  "HTTP/1.1 600 OK\r\n",
  "HTTP/1.1 20x OK\r\n",
  "HTTP/1.1 200OK\r\n",
  "HTTP/1.12 200 OK\r\n",
  "HTTP/1.1  200 OK\r\n",
  "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
  "HTTP/1.1 200 OK\r\nX : 1\r\n",
  "HTTP/1.1 200 OK\r\n X: 1\r\n",
  "HTTP/1.1 200 OK\r\nX\001: 1\r\n",
  "HTTP/1.1 200 OK\r\nX\0: 1\r\n"s,
  "HTTP/1.1 200 OK\r\nX\rY: 1\r\n",
  "HTTP/1.1 200 OK\r\nX\r\n",
  "HTTP/1.1 200 OK\r\nX: \001\r\n",
  "HTTP/1.1 403 No\r\nHTTP/1.1 200 OK\r\n",
  "HTTP/1.1 000 Wait\r\n\r\nHTTP/1.1 200 OK\r\n",
  "HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
};

/// Returns a call through a relay to an address that needs not exist.
upstream_call
CallThrough(const endpoint& aRelay)
{
  upstream_call call = CallTo({ "127.0.0.1:1" }, true);
  call.tunnel = call_tunnel{ aRelay, "Bearer key" };
  return call;
}

void
CheckNothingCame(const recorded_call& aRecorded, const std::string& aStart)
{
  CHECK_TEXT(!aRecorded.outcome.detail.empty(), aStart.c_str());
  CHECK_EQUAL_TEXT(0, aRecorded.head.status, aStart.c_str());
  STRCMP_EQUAL_TEXT("", aRecorded.body.c_str(), aStart.c_str());
}

} // namespace

// Guards against a response that counts although its head is none of HTTP.
// clang-format off
TEST_GROUP(broken_head)
{
  upstream_loop loop;
};
// clang-format on

TEST(broken_head, IsNoResponseToAnyMethod)
{
  for (const std::string& start : kBrokenStarts) {
    for (const char* method : { "GET", "HEAD", "POST" }) {
      const raw_server server({ { start + "Content-Length: 5\r\n\r\nhello", raw_end::close } });
      upstream_call call = CallTo(server.Address(), true);
      call.method = method;
      const recorded_call recorded = Run(loop, call);
      CHECK_TEXT(recorded.outcome.end == call_end::maybe_sent, start.c_str());
      CheckNothingCame(recorded, start);
    }
  }
}

TEST(broken_head, IsNoResponseOnAKeptConnection)
{
  for (const std::string& start : kBrokenStarts) {
    const raw_server server({ { kHello, raw_end::keep },
                              { start + "Content-Length: 5\r\n\r\nhello", raw_end::keep },
                              { kHello, raw_end::keep } });
    Run(loop, CallTo(server.Address(), false));
    const recorded_call recorded = Run(loop, CallTo(server.Address(), false));
    CHECK_TEXT(recorded.outcome.end == call_end::maybe_sent, start.c_str());
    CheckNothingCame(recorded, start);
    // Bytes behind it are for no later call.
    server.WaitForClosedConnection();
    STRCMP_EQUAL("hello", Run(loop, CallTo(server.Address(), false)).body.c_str());
  }
}

TEST(broken_head, IsNoResponseThroughATunnel)
{
  for (const std::string& start : kBrokenStarts) {
    const raw_server relay({ { kTunnelOpen, raw_end::keep },
                             { start + "Content-Length: 5\r\n\r\nhello", raw_end::close } });
    const recorded_call recorded = Run(loop, CallThrough(relay.Address()));
    CHECK_TEXT(recorded.outcome.end == call_end::maybe_sent, start.c_str());
    CheckNothingCame(recorded, start);
  }
}

TEST(broken_head, SoundHeadsThroughATunnelAreRead)
{
  for (const char* open : { "HTTP/1.1 200 OK\r\n\r\n",
                            "HTTP/1.0 200\r\n\r\n",
                            "HTTP/1.1 204 Open\r\nX: 1\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
    const raw_server relay({ { open, raw_end::keep }, { kHello, raw_end::keep } });
    const recorded_call recorded = Run(loop, CallThrough(relay.Address()));
    CHECK_TEXT(recorded.outcome.end == call_end::whole, open);
    LONGS_EQUAL_TEXT(200, recorded.head.status, open);
    STRCMP_EQUAL_TEXT("hello", recorded.body.c_str(), open);
  }
}

// Guards against a request that is sent into a tunnel which was never opened: something other than
// a relay may have taken its address.
TEST(broken_head, OfATunnelSendsNothing)
{
  for (const std::string& start : kBrokenStarts) {
    const raw_server relay({ { start + "\r\n", raw_end::keep }, { kHello, raw_end::keep } });
    const recorded_call recorded = Run(loop, CallThrough(relay.Address()));
    CHECK_TEXT(recorded.outcome.end == call_end::not_sent, start.c_str());
    LONGS_EQUAL_TEXT(0, recorded.outcome.relayStatus, start.c_str());
    CheckNothingCame(recorded, start);
    LONGS_EQUAL_TEXT(1, relay.RequestCount(), start.c_str());
  }
}

// Guards against a broken answer of a relay that proves a path to an upstream, or that the upstream
// refuses connections.
TEST(broken_head, OfATunnelProvesNothingOfTheUpstream)
{
  for (const std::string& start : kBrokenStarts) {
    const raw_server relay({ { start + "\r\n", raw_end::keep } });
    upstream_call check = CallThrough(relay.Address());
    check.connectOnly = true;
    CHECK_TEXT(Run(loop, check).outcome.end == call_end::not_sent, start.c_str());
  }
  for (const char* refused : { "HTTP/1.1 502 Refused\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
                               "HTTP/1.1 502Refused\r\nContent-Length: 0\r\n\r\n" }) {
    const raw_server relay({ { refused, raw_end::close } });
    const recorded_call recorded = Run(loop, CallThrough(relay.Address()));
    CHECK_TEXT(recorded.outcome.end == call_end::not_sent, refused);
    LONGS_EQUAL_TEXT(0, recorded.outcome.relayStatus, refused);
  }
}
