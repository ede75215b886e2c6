#include "benchcaller.h"
#include "instantengine.h"
#include "platform/httpclient.h"
#include "settings/settings.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace persimmon;
using namespace persimmon::bench;

namespace {

constexpr double kNsPerMs = 1e6;
constexpr double kNsPerUs = 1e3;
constexpr int kWarmUpCalls = 50;
constexpr std::chrono::seconds kLongestStart{ 10 };

struct bench_options
{
  endpoint router;
  std::string storeUrl;
  std::size_t groups = 0;
  std::size_t calls = 0;
  double rate = 0;
  std::int64_t seconds = 0;
  engine_pace pace;
};

std::int64_t
Percentile(std::vector<std::int64_t>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(index), aValues.end());
  return aValues[index];
}

/// Waits until the router may use all groups.
bool
WaitUntilEligible(const bench_options& aOptions)
{
  platform::http_client client;
  platform::http_request request;
  request.url = "http://" + aOptions.router.value + "/status";
  const auto until = std::chrono::steady_clock::now() + kLongestStart;
  while (std::chrono::steady_clock::now() < until) {
    const auto response = client.Send(request);
    const auto page =
      response ? nlohmann::json::parse(response->body, nullptr, false) : nlohmann::json();
    for (const auto& service : page.value("services", nlohmann::json::array())) {
      if (service["service"] == "bench-llm" && service["eligible"] == aOptions.groups) {
        return true;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

struct pair_of_samples
{
  std::vector<std::int64_t> direct;
  std::vector<std::int64_t> routed;

  void Print(const char* aName)
  {
    const auto line = [](std::vector<std::int64_t>& aValues) {
      return fmt::format("p50 {:.3f} ms, p99 {:.3f} ms",
                         static_cast<double>(Percentile(aValues, 0.5)) / kNsPerMs,
                         static_cast<double>(Percentile(aValues, 0.99)) / kNsPerMs);
    };
    const auto added = [this](double aShare) {
      return static_cast<double>(Percentile(routed, aShare) - Percentile(direct, aShare)) /
             kNsPerMs;
    };
    fmt::print("{}: direct {}; through the router {}; added p50 {:.3f} ms, p99 {:.3f} ms\n",
               aName,
               line(direct),
               line(routed),
               added(0.5),
               added(0.99));
  }
};

/// Makes calls one after the other, in turn to a head and through the router.
void
MeasureLatency(const bench_options& aOptions, const instant_engine& aEngine)
{
  bench_caller caller(1);
  pair_of_samples whole;
  pair_of_samples first;
  for (std::size_t i = 0; i < aOptions.calls + kWarmUpCalls; ++i) {
    const call_measure direct = caller.Call(aEngine.Address(0), false);
    const call_measure routed = caller.Call(aOptions.router, false);
    const call_measure directStream = caller.Call(aEngine.Address(0), true);
    const call_measure routedStream = caller.Call(aOptions.router, true);
    if (i >= kWarmUpCalls) {
      whole.direct.push_back(direct.endNs - direct.startNs);
      whole.routed.push_back(routed.endNs - routed.startNs);
      first.direct.push_back(directStream.firstByteNs - directStream.startNs);
      first.routed.push_back(routedStream.firstByteNs - routedStream.startNs);
    }
  }
  whole.Print("whole answer");
  first.Print("first token");
}

/// Results of an open-loop run, shared by the caller's threads.
class load_result
{
public:
  void Add(const call_measure& aMeasure)
  {
    const std::lock_guard lock(mMutex);
    ++mEnded;
    mWhole += aMeasure.whole ? 1 : 0;
    if (!aMeasure.tokenDelaysNs.empty()) {
      mFirst.push_back(aMeasure.firstByteNs - aMeasure.startNs);
    }
    mDelays.insert(mDelays.end(), aMeasure.tokenDelaysNs.begin(), aMeasure.tokenDelaysNs.end());
  }

  std::size_t Ended()
  {
    const std::lock_guard lock(mMutex);
    return mEnded;
  }

  void Print(std::size_t aStarted, double aSeconds)
  {
    const std::lock_guard lock(mMutex);
    const std::size_t half = mDelays.size() / 2;
    std::vector<std::int64_t> early(mDelays.begin(),
                                    mDelays.begin() + static_cast<std::ptrdiff_t>(half));
    std::vector<std::int64_t> late(mDelays.begin() + static_cast<std::ptrdiff_t>(half),
                                   mDelays.end());
    fmt::print("{} calls started, {} whole, {} not whole; {:.0f} tokens/s\n",
               aStarted,
               mWhole,
               aStarted - mWhole,
               static_cast<double>(mDelays.size()) / aSeconds);
    fmt::print("first token: p50 {:.3f} ms, p99 {:.3f} ms\n",
               static_cast<double>(Percentile(mFirst, 0.5)) / kNsPerMs,
               static_cast<double>(Percentile(mFirst, 0.99)) / kNsPerMs);
    fmt::print("token from head to caller: first half p50 {:.0f} us, p99 {:.0f} us; "
               "second half p50 {:.0f} us, p99 {:.0f} us\n",
               static_cast<double>(Percentile(early, 0.5)) / kNsPerUs,
               static_cast<double>(Percentile(early, 0.99)) / kNsPerUs,
               static_cast<double>(Percentile(late, 0.5)) / kNsPerUs,
               static_cast<double>(Percentile(late, 0.99)) / kNsPerUs);
  }

private:
  std::mutex mMutex;
  std::size_t mEnded = 0;
  std::size_t mWhole = 0;
  std::vector<std::int64_t> mFirst;
  std::vector<std::int64_t> mDelays;
};

/// Starts streams at an even rate, whatever became of those before.
void
MeasureLoad(const bench_options& aOptions)
{
  constexpr std::size_t kCallerThreads = 3;
  constexpr std::chrono::seconds kLongestRest{ 10 };
  load_result result;
  bench_caller caller(kCallerThreads);
  const auto planned =
    static_cast<std::size_t>(aOptions.rate * static_cast<double>(aOptions.seconds));
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < planned; ++i) {
    std::this_thread::sleep_until(
      start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double>(static_cast<double>(i) / aOptions.rate)));
    caller.Start(
      aOptions.router, true, [&result](const call_measure& aMeasure) { result.Add(aMeasure); });
  }
  const auto pace = std::chrono::milliseconds(aOptions.pace.interval.ms *
                                              static_cast<std::int64_t>(aOptions.pace.tokens));
  const auto until = std::chrono::steady_clock::now() + pace + kLongestRest;
  while (result.Ended() < planned && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  result.Print(planned, took.count());
}

bench_options
ReadOptions(settings& aSettings)
{
  bench_options options;
  options.router.value = aSettings.Text("router");
  options.storeUrl = aSettings.Text("store-url");
  options.groups = static_cast<std::size_t>(aSettings.Number("groups", 1, 1000));
  options.calls = static_cast<std::size_t>(aSettings.Number("calls", 1, 1000000));
  options.rate = aSettings.Double("rate", 1, 100000);
  options.seconds = aSettings.Number("seconds", 1, 600);
  options.pace.tokens = static_cast<std::size_t>(aSettings.Number("tokens", 1, 100000));
  options.pace.interval.ms = aSettings.Number("token-ms", 0, 10000);
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  settings values("bench-router",
                  "Measures what a router adds to calls. tools/bench-router starts the processes.",
                  PERSIMMON_VERSION);
  values.AddRequired("router", "address of the router, ip:port");
  values.AddRequired("store-url", "address of the platform stand-in");
  values.Add("groups", "8", "groups that the program's own heads serve");
  values.Add("calls", "2000", "latency: calls of each sort");
  values.Add("rate", "140", "load: streams started in a second");
  values.Add("seconds", "10", "load: how long to start streams");
  values.Add("tokens", "393", "load: tokens of each stream");
  values.Add("token-ms", "10", "load: time between two tokens");
  values.AcceptOperands("Part to run: latency or load.");
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  bench_options options = ReadOptions(values);
  const std::vector<std::string> parts = values.Operands();
  if (const auto code = values.Finish()) {
    return *code;
  }
  const bool load = !parts.empty() && parts.front() == "load";
  const instant_engine engine(options.groups, load ? options.pace : engine_pace{});
  if (!engine.Announce(options.storeUrl) || !WaitUntilEligible(options)) {
    fmt::print(stderr, "bench-router: the router does not know the groups\n");
    return exit_failure;
  }
  if (load) {
    MeasureLoad(options);
  } else {
    MeasureLatency(options, engine);
  }
  return exit_success;
}
