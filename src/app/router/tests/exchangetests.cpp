#include "app/router/tests/mocks/fakeengine.h"
#include "app/router/tests/mocks/routerrig.h"
#include "platform/httpclient.h"

#include <CppUTest/TestHarness.h>
#include <future>
#include <thread>

using namespace persimmon;
using namespace persimmon::router;

namespace {

constexpr int kTokens = 5;
const std::string kWholeStream = TokenEvent(0) + TokenEvent(1) + TokenEvent(2) + TokenEvent(3) +
                                 TokenEvent(4) + "data: [DONE]\n\n";

using shared_responder = std::shared_ptr<entry::responder>;

platform::http_request
Chat(const router_rig& aRig, bool aStreamed)
{
  platform::http_request request;
  request.method = "POST";
  request.url = "http://" + aRig.Address().value + "/v1/chat/completions";
  request.headers = { { "Authorization", "Bearer key" } };
  request.body = fmt::format(
    R"({{"model":"llm","stream":{},"messages":[{{"role":"user","content":"a"}}]}})", aStreamed);
  request.timeout = 20_s;
  return request;
}

/// The call of a streaming caller.
upstream::upstream_call
StreamCall(const router_rig& aRig)
{
  upstream::upstream_call call;
  call.address = aRig.Address();
  call.method = "POST";
  call.target = "/v1/chat/completions";
  call.headers = { { "Authorization", "Bearer key" } };
  call.body = Chat(aRig, true).body;
  return call;
}

void
AnswerWhole(const entry::server_request& aRequest, const shared_responder& aResponder)
{
  aResponder->Send({ 200, EngineHeaders(aRequest), "whole" });
}

void
Refuse(const entry::server_request& aRequest, const shared_responder& aResponder)
{
  auto headers = EngineHeaders(aRequest);
  headers.push_back({ "Persimmon-Ran", "no" });
  aResponder->Send({ 503, headers, "draining" });
}

void
StreamWhole(const entry::server_request& aRequest, const shared_responder& aResponder)
{
  aResponder->StartStream(200, EngineHeaders(aRequest));
  SendTokens(aRequest, *aResponder, kTokens);
  aResponder->Write("data: [DONE]\n\n");
  aResponder->FinishStream();
}

/// Makes the first call of any upstream behave in one way and later ones in another.
router_rig::handler
FirstThen(std::shared_ptr<std::atomic<int>> aCalls,
          router_rig::handler aFirst,
          router_rig::handler aThen)
{
  return [calls = std::move(aCalls), first = std::move(aFirst), then = std::move(aThen)](
           entry::server_request aRequest, shared_responder aResponder) {
    if (aRequest.path == "/state") {
      aResponder->Send({ 200, {}, "{}" });
      return;
    }
    (calls->fetch_add(1) == 0 ? first : then)(std::move(aRequest), std::move(aResponder));
  };
}

std::string
ReasonOf(const platform::http_response& aResponse)
{
  return nlohmann::json::parse(aResponse.body).value("reason", "");
}

std::string
MemberOf(const platform::http_response& aResponse, const char* aName)
{
  return nlohmann::json::parse(aResponse.body).value(aName, "");
}

} // namespace

// clang-format off
TEST_GROUP(exchange)
{
  platform::http_client client;
  std::shared_ptr<std::atomic<int>> calls = std::make_shared<std::atomic<int>>(0);

  std::vector<router_rig::handler> Two(const router_rig::handler& aFirst,
                                       const router_rig::handler& aThen) const
  {
    return { FirstThen(calls, aFirst, aThen), FirstThen(calls, aFirst, aThen) };
  }
};
// clang-format on

TEST(exchange, AnswerToAnotherAttemptIsDiscarded)
{
  const router_rig rig(Two(
    [](const entry::server_request& aRequest, const shared_responder& aResponder) {
      auto headers = EngineHeaders(aRequest);
      headers.front().value = "another";
      aResponder->Send({ 200, headers, "foreign" });
    },
    AnswerWhole));
  const auto response = client.Send(Chat(rig, false));
  CHECK_EQUAL(200, response->status);
  STRCMP_EQUAL("whole", response->body.c_str());
  CHECK_EQUAL(2, calls->load());
}

TEST(exchange, AnswerThatIsCutOffIsNotDelivered)
{
  const router_rig rig(Two(
    [](const entry::server_request& aRequest, const shared_responder& aResponder) {
      aResponder->StartStream(200, EngineHeaders(aRequest));
      aResponder->Write("half of it");
      aResponder->Abort();
    },
    AnswerWhole));
  const auto response = client.Send(Chat(rig, false));
  STRCMP_EQUAL("whole", response->body.c_str());
}

// Guards against a response of an upstream in trouble whose head is none of HTTP.
TEST(exchange, AnswerWithABrokenHeadIsNotDelivered)
{
  struct broken_head
  {
    int status;
    entry::server_header field;
  };
  const std::vector<broken_head> heads = { { 0, { "X", "1" } },       { 99, { "X", "1" } },
                                           { 600, { "X", "1" } },     { 2000, { "X", "1" } },
                                           { 200, { "X Y", "1" } },   { 200, { "X ", "1" } },
                                           { 200, { " X", "1" } },    { 200, { "X\001Y", "1" } },
                                           { 200, { "X\177", "1" } }, { 200, { "X", "\001" } } };
  for (const broken_head& head : heads) {
    calls->store(0);
    const auto broken = [head](const entry::server_request& aRequest,
                               const shared_responder& aResponder) {
      auto headers = EngineHeaders(aRequest);
      headers.push_back(head.field);
      aResponder->Send({ head.status, headers, "broken" });
    };
    const router_rig rig(Two(broken, AnswerWhole));
    const auto response = client.Send(Chat(rig, false));
    CHECK_TEXT(response.has_value(), head.field.name.c_str());
    CHECK_EQUAL_TEXT(200, response->status, head.field.name.c_str());
    STRCMP_EQUAL_TEXT("whole", response->body.c_str(), head.field.name.c_str());
    CHECK_EQUAL_TEXT(2, calls->load(), head.field.name.c_str());
  }
}

TEST(exchange, UpstreamThatDiesBeforeTheFirstByteIsReplaced)
{
  const router_rig rig(Two(
    [](const entry::server_request&, const shared_responder& aResponder) { aResponder->Abort(); },
    StreamWhole));
  const auto response = client.Send(Chat(rig, true));
  CHECK(response->body == kWholeStream);
}

TEST(exchange, StreamGoesOnElsewhereWithEveryTokenOnce)
{
  const router_rig rig(Two(
    [](const entry::server_request& aRequest, const shared_responder& aResponder) {
      aResponder->StartStream(200, EngineHeaders(aRequest));
      SendTokens(aRequest, *aResponder, 3);
      aResponder->Write("data: ha");
      aResponder->Abort();
    },
    StreamWhole));
  const auto response = client.Send(Chat(rig, true));
  CHECK(response->body == kWholeStream);
  CHECK_EQUAL(2, calls->load());
}

// Guards against an event without end, all of which the router kept until it ran out of memory: the
// stream goes on at another upstream.
TEST(exchange, EventWithoutEndIsNotKept)
{
  constexpr std::size_t kEndless = 8U << 20U;
  std::atomic<std::size_t> written = 0;
  std::thread writer;
  const auto endless = [&](const entry::server_request& aRequest,
                           const shared_responder& aResponder) {
    aResponder->StartStream(200, EngineHeaders(aRequest));
    SendTokens(aRequest, *aResponder, 2);
    writer = std::thread([&written, responder = aResponder] {
      const std::string piece(16384, 'x');
      while (written < kEndless && !responder->HasCallerLeft()) {
        if (responder->PendingBytes() < 4 * piece.size()) {
          responder->Write(piece);
          written += piece.size();
        }
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      }
      responder->Abort();
    });
  };
  const router_rig rig(Two(endless, StreamWhole));
  const auto response = client.Send(Chat(rig, true));
  // Joined before the rig is destroyed, whose connection it writes to.
  writer.join();
  CHECK(response && response->body == kWholeStream);
  CHECK(written < kEndless);
  CHECK_EQUAL(2, calls->load());
}

TEST(exchange, StreamThatCannotGoOnEndsInAnErrorAndACutConnection)
{
  std::string seen;
  const auto cut = [](const entry::server_request& aRequest, const shared_responder& aResponder) {
    aResponder->StartStream(200, EngineHeaders(aRequest, false));
    SendTokens(aRequest, *aResponder, 3);
    aResponder->Abort();
  };
  const router_rig rig(Two(cut, cut));
  std::promise<upstream::call_outcome> done;
  upstream::upstream_loop loop;
  loop.Start(StreamCall(rig),
             { [](const upstream::response_head&) {},
               [&seen](std::string_view aBytes) { seen += aBytes; },
               [&done](const upstream::call_outcome& aOutcome) { done.set_value(aOutcome); } });
  CHECK(done.get_future().get().end == upstream::call_end::maybe_sent);
  STRCMP_CONTAINS("event: error\n", seen.c_str());
  STRCMP_CONTAINS("\"attempt_ran\":\"unknown\"", seen.c_str());
  CHECK(seen.find("[DONE]") == std::string::npos);
}

TEST(exchange, StreamThatEndsCleanlyWithoutItsMarkIsNotFinished)
{
  const auto endEarly = [](const entry::server_request& aRequest,
                           const shared_responder& aResponder) {
    aResponder->StartStream(200, EngineHeaders(aRequest, false));
    SendTokens(aRequest, *aResponder, 2);
    aResponder->FinishStream();
  };
  const router_rig rig(Two(endEarly, endEarly));
  CHECK_FALSE(client.Send(Chat(rig, true)).has_value());
}

TEST(exchange, RefusalWithProofIsReroutedAndReportedTruthfully)
{
  const router_rig rerouted(Two(Refuse, AnswerWhole));
  STRCMP_EQUAL("whole", client.Send(Chat(rerouted, false))->body.c_str());

  const router_rig refused(Two(Refuse, Refuse));
  const auto response = client.Send(Chat(refused, false));
  CHECK_EQUAL(503, response->status);
  STRCMP_EQUAL("no", MemberOf(*response, "ran").c_str());
}

TEST(exchange, ClosedPortsAreARefusalThatProvesNothingRan)
{
  router_rig rig(Two(AnswerWhole, AnswerWhole));
  rig.Upstreams().Close(rig.UpstreamAddress(0));
  rig.Upstreams().Close(rig.UpstreamAddress(1));
  const auto response = client.Send(Chat(rig, false));
  STRCMP_EQUAL("no", MemberOf(*response, "attempt_ran").c_str());
  CHECK_EQUAL(0, calls->load());
}

TEST(exchange, DeadlineEndsTheAttemptAndClaimsNothing)
{
  std::promise<void> left;
  shared_responder held;
  const auto hang = [&](const entry::server_request&, shared_responder aResponder) {
    held = std::move(aResponder);
    held->OnLeave([&left] { left.set_value(); });
  };
  const router_rig rig(Two(hang, hang));
  platform::http_request request = Chat(rig, false);
  request.headers.push_back({ "Persimmon-Deadline-Ms", "100" });
  const auto response = client.Send(request);
  CHECK_EQUAL(504, response->status);
  STRCMP_EQUAL("unknown", MemberOf(*response, "ran").c_str());
  left.get_future().wait();
  held.reset();
}

TEST(exchange, CallerWhoLeavesCancelsTheUpstream)
{
  std::promise<void> left;
  shared_responder held;
  const auto hang = [&](const entry::server_request& aRequest, shared_responder aResponder) {
    held = std::move(aResponder);
    held->OnLeave([&left] { left.set_value(); });
    held->StartStream(200, EngineHeaders(aRequest));
    held->Write(TokenEvent(0));
  };
  const router_rig rig(Two(hang, hang));
  {
    platform::http_client leaving;
    platform::http_request request = Chat(rig, true);
    request.timeout = 100_ms;
    CHECK_FALSE(leaving.Send(request).has_value());
  }
  left.get_future().wait();
  held.reset();
}

TEST(exchange, LostMemberEndsTheWaitForASilentHead)
{
  std::promise<void> started;
  shared_responder held;
  router_rig rig({ FirstThen(
    calls,
    [&](const entry::server_request&, shared_responder aResponder) {
      held = std::move(aResponder);
      started.set_value();
    },
    AnswerWhole) });
  auto answer = std::async(std::launch::async, [&] { return client.Send(Chat(rig, false)); });
  started.get_future().wait();
  rig.Registry().TellLost({ { "llm" }, { "g0" }, { 1 } });
  const auto response = answer.get();
  CHECK_EQUAL(1, calls->load());
  CHECK(response->status >= 500);
  STRCMP_EQUAL("unknown", MemberOf(*response, "attempt_ran").c_str());
  held.reset();
}

TEST(exchange, GroupWithoutAMemberGetsNothing)
{
  router_rig rig(Two(AnswerWhole, AnswerWhole));
  rig.Observe(0, false);
  rig.Observe(1, false);
  platform::http_request request = Chat(rig, false);
  request.headers.push_back({ "Persimmon-Deadline-Ms", "100" });
  const auto response = client.Send(request);
  CHECK(response->status >= 500);
  STRCMP_EQUAL("no", MemberOf(*response, "ran").c_str());
  CHECK_EQUAL(0, calls->load());
}

TEST(exchange, CallThatRunsOnceIsNotDispatchedWithoutTheLedger)
{
  const router_rig rig(Two(AnswerWhole, AnswerWhole));
  platform::http_request request = Chat(rig, false);
  request.url = "http://" + rig.Address().value + "/services/desk/corrections";
  const auto now = wall_clock().Now();
  request.headers.push_back(
    { "Idempotency-Key",
      fmt::format("{:08x}-{:04x}-7abc-8def-0123456789ab", now.ms >> 16, now.ms & 0xffff) });
  const auto response = client.Send(request);
  CHECK_EQUAL(503, response->status);
  STRCMP_EQUAL("ledger_unavailable", ReasonOf(*response).c_str());
  STRCMP_EQUAL("no", MemberOf(*response, "attempt_ran").c_str());
  STRCMP_EQUAL("unknown", MemberOf(*response, "ran").c_str());
  CHECK_EQUAL(0, calls->load());
}

TEST(exchange, StopEndsAStreamVisibly)
{
  shared_responder held;
  const auto stream = [&](const entry::server_request& aRequest, shared_responder aResponder) {
    held = std::move(aResponder);
    held->StartStream(200, EngineHeaders(aRequest));
    held->Write(TokenEvent(0));
  };
  router_rig rig({ stream });
  std::promise<void> started;
  std::promise<upstream::call_outcome> done;
  std::string seen;
  upstream::upstream_loop loop;
  loop.Start(StreamCall(rig),
             { [](const upstream::response_head&) {},
               [&](std::string_view aBytes) {
                 if (seen.empty()) {
                   started.set_value();
                 }
                 seen += aBytes;
               },
               [&done](const upstream::call_outcome& aOutcome) { done.set_value(aOutcome); } });
  started.get_future().wait();
  for (const auto& left : rig.Registry().All()) {
    left->Post(routing::flow_stop{});
  }
  CHECK(done.get_future().get().end == upstream::call_end::maybe_sent);
  STRCMP_CONTAINS("\"reason\":\"stopping\"", seen.c_str());
  held.reset();
}

TEST(exchange, SlowCallerMakesTheUpstreamWait)
{
  constexpr std::size_t kBlock = 64U << 10U;
  constexpr std::size_t kMostBlocks = 2000;
  constexpr std::size_t kFull = 1U << 20U;
  std::promise<bool> waited;
  std::size_t blocks = 0;
  shared_responder held;
  std::future<void> flooding;
  const auto flood = [&](const entry::server_request& aRequest, shared_responder aResponder) {
    held = std::move(aResponder);
    held->StartStream(200, EngineHeaders(aRequest));
    flooding = std::async(std::launch::async, [&] {
      const std::string block = "data: " + std::string(kBlock, 'x') + "\n\n";
      while (blocks < kMostBlocks && held->PendingBytes() < kFull) {
        held->Write(block);
        ++blocks;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      waited.set_value(held->PendingBytes() >= kFull);
      held->Write("data: [DONE]\n\n");
      held->FinishStream();
    });
  };
  const router_rig rig({ flood });
  upstream::upstream_loop loop;
  std::promise<upstream::call_outcome> done;
  std::size_t bytes = 0;
  upstream::call_id id;
  loop.Post([&] {
    id = loop.Start(StreamCall(rig),
                    { [&](const upstream::response_head&) { loop.Pause(id); },
                      [&](std::string_view aBytes) { bytes += aBytes.size(); },
                      [&](const upstream::call_outcome& aOutcome) { done.set_value(aOutcome); } });
  });
  CHECK(waited.get_future().get());
  loop.Resume(id);
  CHECK(done.get_future().get().end == upstream::call_end::whole);
  flooding.wait();
  held.reset();
  CHECK(bytes > blocks * kBlock);
}

TEST(exchange, RequestThatKillsTwoUpstreamsIsQuarantined)
{
  router_rig* rig = nullptr;
  std::vector<std::future<void>> deaths(3);
  const auto die = [&](std::size_t aIndex) {
    return [&, aIndex](const entry::server_request&, const shared_responder& aResponder) {
      calls->fetch_add(1);
      // A server cannot close its listener from within a handler.
      deaths[aIndex] = std::async(std::launch::async, [&, aIndex, responder = aResponder] {
        rig->Upstreams().Close(rig->UpstreamAddress(aIndex));
        responder->Abort();
      });
    };
  };
  router_rig deadly({ die(0), die(1), die(2) });
  rig = &deadly;
  const auto first = client.Send(Chat(deadly, false));
  CHECK(first->status >= 500);
  CHECK_EQUAL(2, calls->load());
  const auto again = client.Send(Chat(deadly, false));
  CHECK_EQUAL(422, again->status);
  STRCMP_EQUAL("request_quarantined", ReasonOf(*again).c_str());
  CHECK_EQUAL(2, calls->load());
  // Waits for them, and lets go of their responders before the server ends.
  deaths.clear();
}
