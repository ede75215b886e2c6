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

/// Accepts connections into the kernel's backlog and never responds.
class unresponsive_server
{
public:
  unresponsive_server()
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    const bool isListening = bind(mSocket, genericAddress, size) == 0 && listen(mSocket, 1) == 0;
    CHECK(isListening);
    getsockname(mSocket, genericAddress, &size);
    mPort = ntohs(address.sin_port);
  }
  ~unresponsive_server() { close(mSocket); }
  unresponsive_server(const unresponsive_server&) = delete;
  unresponsive_server& operator=(const unresponsive_server&) = delete;
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
  unresponsive_server server;
  http_client client;
};
// clang-format on

TEST(http_client, CancelAbortsACallInProgress)
{
  http_request request;
  request.url = server.Url();
  request.timeout = 600_s;
  std::thread canceller([this] { client.Cancel(); });
  CHECK_FALSE(client.Send(request).has_value());
  canceller.join();
}

TEST(http_client, TimedOutRequestIsReportedAsMaybeSent)
{
  http_request request;
  request.url = server.Url();
  request.timeout = 50_ms;
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(client.LastFailure() == http_failure::maybe_sent);
}

TEST(http_client, RefusedConnectionIsReportedAsNotSent)
{
  http_request request;
  request.url = "http://127.0.0.1:1/";
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(client.LastFailure() == http_failure::not_sent);
}
