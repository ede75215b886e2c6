#include "entry/httpserver.h"
#include "load/exchangeresult.h"
#include "load/loadrunner.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <unistd.h>

using namespace persimmon;
using namespace persimmon::load;

namespace {

constexpr const char* kAnswer = R"({"choices":[{"message":{"content":"yes"}}]})";
constexpr const char* kToken = "data: {\"choices\":[{\"delta\":{\"content\":\"yes\"}}]}\n\n";
constexpr const char* kEnd = "data: [DONE]\n\n";

std::vector<history::event>
ReadEvents(const std::string& aPath)
{
  std::vector<history::event> events;
  std::ifstream file(aPath);
  std::string line;
  std::string problem;
  while (std::getline(file, line)) {
    events.push_back(*history::ParseEvent(line, problem));
  }
  return events;
}

/// Counts the sendings of each key, over all routers.
struct seen_keys
{
  std::mutex mutex;
  std::map<std::string, int> counts;

  int Add(const std::string& aKey)
  {
    const std::lock_guard lock(mutex);
    return ++counts[aKey];
  }
};

} // namespace

// clang-format off
TEST_GROUP(load_runner)
{
  entry::http_server server{ entry::server_options{} };
  std::string path = "/tmp/persimmon-load-" + std::to_string(getpid());
  load_options options;

  void setup() override
  {
    options.mix.models = { { "verifier-llm" } };
    options.mix.customers = { { { "desk" }, "key" } };
    options.mix.rate = 200;
    options.mix.length = 200_ms;
    options.mix.leaveShare = 0;
  }
  void teardown() override
  {
    server.Stop();
    std::remove(path.c_str());
  }
  void Listen(entry::request_handler aHandler)
  {
    options.routers.push_back("http://" +
                              server.Listen({ "127.0.0.1:0" }, std::move(aHandler))->value);
  }
  load_statistics RunLoad()
  {
    history::history_writer history(path, "load");
    {
      load_runner runner(options, history);
      runner.Start();
      while (runner.IsRunning()) {
        usleep(2000);
      }
      return runner.Statistics();
    }
  }
};
// clang-format on

TEST(load_runner, EveryCallIsAnsweredOnceAndRecorded)
{
  Listen(
    [](const entry::server_request& aRequest, const std::shared_ptr<entry::responder>& aResponder) {
      if (aRequest.body.Text().find("\"stream\":true") == std::string::npos) {
        aResponder->Send({ 200, { { "Content-Type", "application/json" } }, kAnswer });
        return;
      }
      aResponder->StartStream(200, { { "Content-Type", "text/event-stream" } });
      aResponder->Write(kToken);
      aResponder->Write(kEnd);
      aResponder->FinishStream();
    });
  const load_statistics seen = RunLoad();
  CHECK(seen.sent > 0);
  CHECK_EQUAL(seen.sent, seen.answered);
  CHECK(seen.firstToken.Count() > 0);
  CHECK_EQUAL(2 * seen.sent, ReadEvents(path).size());
}

// Guards against a response that counts as an answer although its head is none of HTTP.
TEST(load_runner, AnswerWithABrokenHeadIsNone)
{
  options.mix.streamedShare = 0.5;
  constexpr std::array<int, 4> kBrokenStatuses = { 0, 99, 600, 2000 };
  const std::vector<entry::server_header> brokenFields = {
    { "X Y", "1" }, { "X ", "1" }, { " X", "1" }, { "X\001", "1" }, { "X", "\001" },
  };
  std::atomic<std::size_t> count = 0;
  Listen([&](const entry::server_request& aRequest,
             const std::shared_ptr<entry::responder>& aResponder) {
    const std::size_t form = count++ % (kBrokenStatuses.size() + brokenFields.size());
    const bool isStatus = form < kBrokenStatuses.size();
    const int status = isStatus ? kBrokenStatuses.at(form) : 200;
    const bool isStream = aRequest.body.Text().find("\"stream\":true") != std::string::npos;
    std::vector<entry::server_header> headers = {
      { "Content-Type", isStream ? "text/event-stream" : "application/json" }
    };
    if (!isStatus) {
      headers.push_back(brokenFields[form - kBrokenStatuses.size()]);
    }
    if (!isStream) {
      aResponder->Send({ status, headers, kAnswer });
      return;
    }
    aResponder->StartStream(status, headers);
    aResponder->Write(kToken);
    aResponder->Write(kEnd);
    aResponder->FinishStream();
  });
  const load_statistics seen = RunLoad();
  CHECK(seen.sent > kBrokenStatuses.size() + brokenFields.size());
  CHECK_EQUAL(0, seen.answered);
  // libcurl refuses some of them before their first line is read.
  CHECK_EQUAL(seen.sent, seen.refusals.at(kUnfinished) + seen.refusals.at(kNoAnswer));
}

TEST(load_runner, StreamThatEndsWithoutDoneIsRefusedAsUnfinished)
{
  options.mix.streamedShare = 1;
  Listen([](const entry::server_request&, const std::shared_ptr<entry::responder>& aResponder) {
    aResponder->StartStream(200, { { "Content-Type", "text/event-stream" } });
    aResponder->Write(kToken);
    aResponder->FinishStream();
  });
  const load_statistics seen = RunLoad();
  CHECK_EQUAL(0, seen.answered);
  CHECK_EQUAL(seen.sent, seen.refusals.at(kUnfinished));
}

TEST(load_runner, ErrorEventOfAStreamIsRecordedWithItsClaim)
{
  options.mix.streamedShare = 1;
  Listen([](const entry::server_request&, const std::shared_ptr<entry::responder>& aResponder) {
    aResponder->StartStream(200, { { "Content-Type", "text/event-stream" } });
    aResponder->Write(kToken);
    aResponder->Write("event: error\ndata: {\"reason\":\"stream_broken\",\"ran\":\"unknown\"}\n\n");
    aResponder->Abort();
  });
  const load_statistics seen = RunLoad();
  CHECK_EQUAL(seen.sent, seen.refusals.at(kUnfinished));
  for (const history::event& event : ReadEvents(path)) {
    if (event.kind == history::event_kind::refused) {
      STRCMP_EQUAL("unknown", event.ran.c_str());
    }
  }
}

TEST(load_runner, UnknownOutcomeIsSentAgainThroughTheNextRouterWithTheSameKey)
{
  options.mix.models.clear();
  options.mix.services = { { "tjald-ledger" } };
  options.mix.onceShare = 1;
  options.mix.duplicateShare = 0;
  seen_keys seenKeys;
  const auto handler = [&seenKeys](const entry::server_request& aRequest,
                                   const std::shared_ptr<entry::responder>& aResponder) {
    if (seenKeys.Add(aRequest.Header("Idempotency-Key")) == 1) {
      aResponder->Abort();
    } else {
      aResponder->Send({ 200, { { "Content-Type", "application/json" } }, "{}" });
    }
  };
  Listen(handler);
  Listen(handler);
  const load_statistics seen = RunLoad();
  CHECK(seen.sent > 0);
  CHECK_EQUAL(seen.sent, seen.answered);
  CHECK_EQUAL(seen.sent, seen.resends);
  CHECK_EQUAL(seen.sent, seenKeys.counts.size());
  std::map<std::string, std::string> routers;
  for (const history::event& event : ReadEvents(path)) {
    if (event.kind == history::event_kind::invoked) {
      CHECK(routers[event.key] != event.instance);
      routers[event.key] = event.instance;
    }
  }
}

TEST(load_runner, LatencyCountsFromThePlannedTimeWhileTheRouterHangs)
{
  options.mix.streamedShare = 0;
  options.threads = 1;
  std::atomic<bool> first{ true };
  Listen([&](const entry::server_request&, const std::shared_ptr<entry::responder>& aResponder) {
    if (first.exchange(false)) {
      // Blocks the server thread, so that other calls wait as well.
      usleep(100000);
    }
    aResponder->Send({ 200, { { "Content-Type", "application/json" } }, kAnswer });
  });
  const load_statistics seen = RunLoad();
  CHECK(seen.whole.Quantile(1) >= 100_ms);
  CHECK_EQUAL(seen.sent, seen.answered);
}

TEST(load_runner, CallerThatLeavesIsRecordedAsRefusedWithoutAClaim)
{
  options.mix.leaveShare = 1;
  std::vector<std::shared_ptr<entry::responder>> held;
  std::mutex mutex;
  Listen([&](const entry::server_request&, const std::shared_ptr<entry::responder>& aResponder) {
    const std::lock_guard lock(mutex);
    held.push_back(aResponder);
  });
  const load_statistics seen = RunLoad();
  CHECK_EQUAL(seen.sent, seen.refusals.at(kLeft));
}
