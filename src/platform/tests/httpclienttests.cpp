#include "platform/httpclient.h"

#include "base/clock.h"
#include "base/responseheadsize.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

/// Answers one connection with a head, and then with a piece again and again up to a limit. Then it
/// waits until the client closes.
class endless_server
{
public:
  endless_server(std::string aHead, std::string aPiece, std::size_t aLimit)
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
    mThread = std::thread([this, head = std::move(aHead), piece = std::move(aPiece), aLimit] {
      const int accepted = accept(mSocket, nullptr, nullptr);
      std::string next = head;
      std::size_t sent = 0;
      while (sent <= aLimit && SendAll(accepted, next)) {
        sent += next.size();
        next = piece;
      }
      char request[4096];
      while (recv(accepted, request, sizeof request, 0) > 0) {
      }
      close(accepted);
    });
  }
  ~endless_server()
  {
    mThread.join();
    close(mSocket);
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;
  [[nodiscard]] std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/";
  }

private:
  static bool SendAll(int aSocket, const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  int mSocket;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

/// Answers requests, each of which comes in one piece, with these responses in turn.
class answering_server
{
public:
  explicit answering_server(std::vector<std::string> aResponses)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    CHECK(bind(mSocket, genericAddress, size) == 0 && listen(mSocket, SOMAXCONN) == 0);
    getsockname(mSocket, genericAddress, &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this, responses = std::move(aResponses)] {
      for (std::size_t next = 0; next < responses.size();) {
        const int accepted = accept(mSocket, nullptr, nullptr);
        if (accepted < 0) {
          return;
        }
        ++mConnections;
        char request[4096];
        while (next < responses.size() && recv(accepted, request, sizeof request, 0) > 0) {
          send(accepted, responses[next].data(), responses[next].size(), MSG_NOSIGNAL);
          ++next;
        }
        close(accepted);
      }
    });
  }
  ~answering_server()
  {
    shutdown(mSocket, SHUT_RDWR);
    mThread.join();
    close(mSocket);
  }
  answering_server(const answering_server&) = delete;
  answering_server& operator=(const answering_server&) = delete;
  [[nodiscard]] std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mPort) + "/";
  }
  /// Number of connections that were accepted.
  [[nodiscard]] int Connections() const { return mConnections; }

private:
  int mSocket;
  std::uint16_t mPort = 0;
  std::atomic<int> mConnections = 0;
  std::thread mThread;
};

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

// Guards against a part of a report, an order's outcome or a list that passes for the whole.
TEST(http_client, ResponseWithFramingInDoubtFailsTheRequest)
{
  for (const char* head : { "HTTP/1.1 200 OK\r\nContent-Length: 2:\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 2\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
                            "HTTP/1.1 20x OK\r\nContent-Length: 5\r\n\r\n" }) {
    const endless_server broken(head, "hello", 5);
    http_request request;
    request.url = broken.Url();
    request.timeout = 500_ms;
    CHECK_TEXT(!client.Send(request).has_value(), head);
    CHECK_TEXT(client.LastFailure() == http_failure::maybe_sent, head);
    CHECK_TEXT(!client.LastFailureText().empty(), head);
  }
}

// Guards against a report, an order's outcome or an object of the store in a response whose head is
// none of HTTP.
TEST(http_client, ResponseWithABrokenHeadFailsTheRequest)
{
  using namespace std::string_literals;
  for (const std::string& start : { "HTTP/1.1 000 OK\r\n"s,
                                    "HTTP/1.1 099 OK\r\n"s,
                                    "HTTP/1.1 600 OK\r\n"s,
                                    "HTTP/1.1 200OK\r\n"s,
                                    "HTTP/1.1 000 Wait\r\n\r\nHTTP/1.1 200 OK\r\n"s,
                                    "HTTP/1.1 200 OK\r\nX Y: 1\r\n"s,
                                    "HTTP/1.1 200 OK\r\nX : 1\r\n"s,
                                    "HTTP/1.1 200 OK\r\n X: 1\r\n"s,
                                    "HTTP/1.1 200 OK\r\nX\001: 1\r\n"s,
                                    "HTTP/1.1 200 OK\r\nX\0: 1\r\n"s,
                                    "HTTP/1.1 200 OK\r\nX: \001\r\n"s }) {
    const endless_server broken(start + "Content-Length: 5\r\n\r\n", "hello", 5);
    http_request request;
    request.url = broken.Url();
    request.timeout = 500_ms;
    CHECK_TEXT(!client.Send(request).has_value(), start.c_str());
    CHECK_TEXT(client.LastFailure() == http_failure::maybe_sent, start.c_str());
    CHECK_TEXT(!client.LastFailureText().empty(), start.c_str());
  }
}

// Guards against a process that ends with a server in trouble: libcurl joined a first field that
// begins with a blank to the last one of the response before, which it had freed.
TEST(http_client, FirstFieldThatBeginsWithABlankDoesNoHarm)
{
  const std::string sound = "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 5\r\n\r\nhello";
  std::vector<std::string> responses;
  constexpr std::size_t kRounds = 20;
  constexpr std::size_t kBytesMoreARound = 64;
  for (std::size_t round = 0; round < kRounds; ++round) {
    responses.push_back(sound);
    responses.emplace_back("HTTP/1.1 200 OK\r\n ")
      .append(round * kBytesMoreARound, 'x')
      .append(": 1\r\nContent-Length: 5\r\n\r\nhello");
  }
  const answering_server answering(responses);
  http_request request;
  request.url = answering.Url();
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto whole = client.Send(request);
    CHECK(whole.has_value());
    STRCMP_EQUAL("hello", whole->body.c_str());
    CHECK(!client.Send(request).has_value());
    CHECK(client.LastFailure() == http_failure::maybe_sent);
  }
}

TEST(http_client, ConnectionsAreKeptForLaterRequests)
{
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  const answering_server answering({ sound, sound });
  http_request request;
  request.url = answering.Url();
  CHECK(client.Send(request).has_value());
  CHECK(client.Send(request).has_value());
  LONGS_EQUAL(1, answering.Connections());
}

TEST(http_client, RefusedConnectionIsReportedAsNotSent)
{
  http_request request;
  request.url = "http://127.0.0.1:1/";
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(client.LastFailure() == http_failure::not_sent);
}

// Guards against a head without end: what is kept of it must not depend on the library's own bound,
// which differs from version to version.
TEST(http_client, HeadAboveTheLargestFailsTheRequest)
{
  const endless_server endless(
    "HTTP/1.1 200 OK\r\n", "X-Fill: " + std::string(4096, 'x') + "\r\n", kMaxResponseHeadBytes);
  http_request request;
  request.url = endless.Url();
  const time_point start = steady_clock().Now();
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(client.LastFailure() == http_failure::maybe_sent);
  CHECK(steady_clock().Now() - start < request.timeout);
}

// Guards against a response to a small question that is kept up to the size of a list.
TEST(http_client, BodyAboveTheRequestsLargestFailsTheRequest)
{
  const endless_server endless("HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'), 200000);
  http_request request;
  request.url = endless.Url();
  request.maxBodyBytes = 100000;
  const time_point start = steady_clock().Now();
  CHECK_FALSE(client.Send(request).has_value());
  CHECK(steady_clock().Now() - start < request.timeout);
}
