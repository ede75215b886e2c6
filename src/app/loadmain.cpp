#include "history/historywriter.h"
#include "load/loadreport.h"
#include "load/loadrunner.h"
#include "settings/settings.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

using namespace persimmon;

namespace {

constexpr std::int64_t kMostSeconds = 86400;
constexpr std::int64_t kMostThreads = 64;
constexpr double kMostRate = 100000;
constexpr std::int64_t kMostPrefixes = 1000000;
constexpr std::int64_t kMostTokens = 100000;
constexpr std::int64_t kLongestDeadlineMs = 600000;
constexpr std::chrono::milliseconds kPollInterval{ 20 };

struct load_settings
{
  load::load_options load;
  std::string history;
  std::string report;
  std::string plot;
  duration progress;
};

void
Declare(settings& aSettings)
{
  aSettings.AddRequired("routers", "base addresses of routers, http://ip:port,...");
  aSettings.Add("models", "", "model services to call, by chat completions");
  aSettings.Add("services", "", "plain services to call, by lookups and ledger entries");
  aSettings.AddRequired("keys", "callers as name=key,...; the first ones call most");
  aSettings.Add("rate", "10", "calls a second, whatever became of those before");
  aSettings.Add("seconds", "10", "how long to make calls");
  aSettings.Add("seed", "1", "the same seed makes the same calls");
  aSettings.Add("threads", "2", "threads that make calls");
  aSettings.Add("plain-share", "0.2", "share of calls to plain services");
  aSettings.Add("streamed-share", "0.7", "share of model calls that are streamed");
  aSettings.Add("once-share", "0.5", "share of plain calls that may not be repeated");
  aSettings.Add("leave-share", "0.01", "share of model calls whose caller leaves early");
  aSettings.Add("duplicate-share", "0.02", "share of keyed calls sent again although answered");
  aSettings.Add("prefixes", "32", "number of different prompt prefixes");
  aSettings.Add("prefix-words", "64", "words in each prompt prefix");
  aSettings.Add("max-tokens", "32", "longest answer asked for");
  aSettings.Add("deadline-ms", "30000", "deadline that each call carries");
  aSettings.Add("progress-s", "5", "seconds between lines of progress; 0 prints none");
  aSettings.Add("history", "", "file to append the history to");
  aSettings.Add("report", "", "file for the report as JSON");
  aSettings.Add("plot", "", "file for a plot of latencies over time as SVG");
}

std::vector<load::load_customer>
ReadCustomers(settings& aSettings)
{
  std::vector<load::load_customer> customers;
  for (const std::string& part : aSettings.List("keys")) {
    const std::size_t sign = part.find('=');
    if (sign == std::string::npos || sign == 0 || sign + 1 == part.size()) {
      aSettings.Fail("keys", "name=key,...");
      break;
    }
    customers.push_back({ { part.substr(0, sign) }, part.substr(sign + 1) });
  }
  return customers;
}

std::vector<service_name>
ReadServices(settings& aSettings, const std::string& aName)
{
  std::vector<service_name> services;
  for (const std::string& part : aSettings.List(aName)) {
    services.push_back({ part });
  }
  return services;
}

load::load_mix
ReadMix(settings& aSettings)
{
  load::load_mix mix;
  mix.models = ReadServices(aSettings, "models");
  mix.services = ReadServices(aSettings, "services");
  if (mix.models.empty() && mix.services.empty()) {
    aSettings.Fail("models", "a service here or in --services");
  }
  mix.customers = ReadCustomers(aSettings);
  mix.rate = aSettings.Double("rate", 0.001, kMostRate);
  mix.length = 1_s * aSettings.Number("seconds", 1, kMostSeconds);
  mix.plainShare = aSettings.Double("plain-share", 0, 1);
  mix.streamedShare = aSettings.Double("streamed-share", 0, 1);
  mix.onceShare = aSettings.Double("once-share", 0, 1);
  mix.leaveShare = aSettings.Double("leave-share", 0, 1);
  mix.duplicateShare = aSettings.Double("duplicate-share", 0, 1);
  mix.prefixes = static_cast<std::uint64_t>(aSettings.Number("prefixes", 1, kMostPrefixes));
  mix.prefixWords = static_cast<std::uint64_t>(aSettings.Number("prefix-words", 0, kMostTokens));
  mix.maxTokens = static_cast<std::uint64_t>(aSettings.Number("max-tokens", 1, kMostTokens));
  mix.deadline.ms = aSettings.Number("deadline-ms", 1, kLongestDeadlineMs);
  return mix;
}

load_settings
Read(settings& aSettings)
{
  load_settings read;
  read.load.mix = ReadMix(aSettings);
  read.load.routers = aSettings.List("routers");
  for (const std::string& router : read.load.routers) {
    if (!router.starts_with("http://") || router.ends_with('/')) {
      aSettings.Fail("routers", "http://ip:port,... without a path");
      break;
    }
  }
  read.load.seed = static_cast<std::uint64_t>(aSettings.Number("seed", 0, INT64_MAX));
  read.load.threads = static_cast<std::size_t>(aSettings.Number("threads", 1, kMostThreads));
  read.progress = 1_s * aSettings.Number("progress-s", 0, kMostSeconds);
  read.history = aSettings.Text("history");
  read.report = aSettings.Text("report");
  read.plot = aSettings.Text("plot");
  return read;
}

void
ShowProgress(const load::load_runner& aRunner, duration aInterval)
{
  const time_point start = steady_clock().Now();
  time_point next = start + aInterval;
  while (aRunner.IsRunning()) {
    std::this_thread::sleep_for(kPollInterval);
    const time_point now = steady_clock().Now();
    if (aInterval.ms > 0 && now >= next) {
      std::cerr << load::RenderProgress(aRunner.Statistics(), now - start) << "\n";
      next = next + aInterval;
    }
  }
}

bool
Save(const std::string& aPath, const std::string& aText)
{
  if (aPath.empty()) {
    return true;
  }
  std::ofstream file(aPath);
  file << aText;
  file.close();
  if (!file) {
    std::cerr << "persimmon-load: cannot write " << aPath << "\n";
  }
  return file.good();
}

int
RunLoad(const load_settings& aSettings)
{
  history::history_writer history(aSettings.history, "load");
  if (!history.IsReady()) {
    std::cerr << "persimmon-load: cannot write " << aSettings.history << "\n";
    return exit_failure;
  }
  load::load_runner runner(aSettings.load, history);
  runner.Start();
  ShowProgress(runner, aSettings.progress);
  const load::load_statistics seen = runner.Statistics();
  const duration length = aSettings.load.mix.length;
  std::cout << load::RenderTextReport(seen, length);
  const bool saved = Save(aSettings.report, load::RenderJsonReport(seen, length)) &&
                     Save(aSettings.plot, load::RenderLatencyPlot(seen, length));
  return saved ? exit_success : exit_failure;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  settings values("persimmon-load", "Makes calls to routers at a fixed rate.", PERSIMMON_VERSION);
  Declare(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const load_settings read = Read(values);
  if (const auto code = values.Finish()) {
    return *code;
  }
  return RunLoad(read);
}
