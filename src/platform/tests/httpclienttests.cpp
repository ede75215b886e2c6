#include "platform/httpclient.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

/// Accepts connections (in the kernel's queue) and never answers.
class silent_server
{
public:
  silent_server()
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    const bool listens = bind(mSocket, generic, size) == 0 && listen(mSocket, 1) == 0;
    CHECK(listens);
    getsockname(mSocket, generic, &size);
    mPort = ntohs(address.sin_port);
  }
  ~silent_server() { close(mSocket); }
  silent_server(const silent_server&) = delete;
  silent_server& operator=(const silent_server&) = delete;
  [[nodiscard]] std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/";
  }

private:
  int mSocket;
  std::uint16_t mPort = 0;
};

} // namespace

// clang-format off
TEST_GROUP(http_client)
{
  silent_server server;
  http_client client;
};
// clang-format on

TEST(http_client, CancelEndsACallInProgress)
{
  http_request request;
  request.url = server.Url();
  request.timeout = 600_s;
  std::thread canceller([this] { client.Cancel(); });
  CHECK_FALSE(client.Send(request).has_value());
  canceller.join();
}

TEST(http_client, TimedOutRequestMayHaveArrived)
{
  http_request request;
  request.url = server.Url();
  request.timeout = 50_ms;
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(client.LastFailure() == http_failure::maybe_sent);
}

TEST(http_client, RefusedConnectionSentNothing)
{
  http_request request;
  request.url = "http://127.0.0.1:1/";
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(client.LastFailure() == http_failure::not_sent);
}
