#include "entry/httpserver.h"

#include "platform/httpclient.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <future>

using namespace persimmon;
using namespace persimmon::entry;

namespace {

const endpoint kAnyPort{ "127.0.0.1:0" };

std::optional<platform::http_response>
Fetch(const endpoint& aAddress, duration aTimeout, platform::http_client& aClient)
{
  platform::http_request request;
  request.url = "http://" + aAddress.value + "/path?a=1&b=two";
  request.timeout = aTimeout;
  return aClient.Send(request);
}

} // namespace

// clang-format off
TEST_GROUP(http_server)
{
  http_server server{ server_options{} };
  platform::http_client client;
};
// clang-format on

TEST(http_server, SendsCompleteResponse)
{
  const auto address =
    server.Listen(kAnyPort, [](const server_request& aRequest, const auto& aResponder) {
      aResponder->Send({ 200, { { "X-Seen", aRequest.path } }, aRequest.QueryMember("b") });
    });
  const auto response = Fetch(*address, 5_s, client);
  CHECK_EQUAL(200, response->status);
  STRCMP_EQUAL("two", response->body.c_str());
  STRCMP_EQUAL("/path", response->Header("x-seen").c_str());
}

TEST(http_server, FinishedStreamIsReceivedCompletely)
{
  const auto address = server.Listen(kAnyPort, [](const server_request&, const auto& aResponder) {
    aResponder->StartStream(200, {});
    aResponder->Write("one ");
    aResponder->Write("two");
    aResponder->FinishStream();
  });
  const auto response = Fetch(*address, 5_s, client);
  CHECK(response.has_value());
  STRCMP_EQUAL("one two", response->body.c_str());
  STRCMP_EQUAL("chunked", response->Header("transfer-encoding").c_str());
  STRCMP_EQUAL("", response->Header("content-length").c_str());
}

TEST(http_server, ClientDetectsAbortedStream)
{
  const auto address = server.Listen(kAnyPort, [](const server_request&, const auto& aResponder) {
    aResponder->StartStream(200, {});
    aResponder->Write("one ");
    aResponder->Abort();
  });
  CHECK_FALSE(Fetch(*address, 5_s, client).has_value());
  CHECK(client.LastFailure() == platform::http_failure::maybe_sent);
}

TEST(http_server, AbortBeforeResponseClosesConnectionWithoutData)
{
  const auto address = server.Listen(
    kAnyPort, [](const server_request&, const auto& aResponder) { aResponder->Abort(); });
  CHECK_FALSE(Fetch(*address, 5_s, client).has_value());
  STRCMP_EQUAL("Server returned nothing (no headers, no data)", client.LastFailureText().c_str());
}

TEST(http_server, ReportsClientDisconnect)
{
  std::promise<void> disconnected;
  std::shared_ptr<responder> held;
  const auto address =
    server.Listen(kAnyPort, [&](const server_request&, std::shared_ptr<responder> aResponder) {
      held = std::move(aResponder);
      held->OnLeave([&disconnected] { disconnected.set_value(); });
    });
  {
    platform::http_client disconnectingClient;
    CHECK_FALSE(Fetch(*address, 50_ms, disconnectingClient).has_value());
  }
  disconnected.get_future().wait();
}

TEST(http_server, RejectsMalformedAddress)
{
  CHECK_FALSE(server.Listen({ "nowhere" }, {}).has_value());
  STRCMP_EQUAL("'nowhere' is not ip:port", server.LastReason().c_str());
}
