#include "bench/herdbench.h"
#include "bench/meshworkload.h"
#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>
#include <numeric>

using namespace persimmon;
using namespace persimmon::bench;
using namespace persimmon::peers;

namespace {

constexpr duration kWarmUp = 30_s;
constexpr duration kLimit = 120_s;
constexpr int kTrials = 10;
constexpr double kBytesTarget = 3000;
constexpr double kProcessorTarget = 3.3;
/// Bytes of TCP, IP and WebSocket headers around one frame sent on its own.
constexpr double kHeaderBytes = 46;

struct size_point
{
  std::size_t routers;
  std::size_t groups;
};

/// A region of today, two in between, a region at the size to design for, and beyond.
const std::vector<size_point> kSizes{ { 9, 4 }, { 32, 17 }, { 109, 57 }, { 300, 157 } };

struct run_options
{
  std::uint64_t seed = 1;
  duration window = 30_s;
  std::vector<size_point> sizes;
};

double
ProcessorSeconds()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

std::int64_t
Quantile(std::vector<std::int64_t> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aFraction)];
}

mesh_workload_options
OptionsOf(const run_options& aRun, const size_point& aSize)
{
  mesh_workload_options options;
  options.routers = aSize.routers;
  options.groups = aSize.groups;
  options.seed = aRun.seed;
  return options;
}

std::string
Milliseconds(const std::vector<std::optional<duration>>& aTimes)
{
  std::vector<std::int64_t> values;
  std::size_t late = 0;
  for (const auto& time : aTimes) {
    if (time) {
      values.push_back(time->ms);
    } else {
      ++late;
    }
  }
  std::string text = fmt::format("{} | {}", Quantile(values, 0.5), Quantile(values, 1));
  return late == 0 ? text : text + fmt::format(" ({} never)", late);
}

struct traffic_totals
{
  std::uint64_t bytes = 0;
  std::uint64_t bodies = 0;
  std::uint64_t frames = 0;
  std::uint64_t delivered = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t waiting = 0;
  std::array<std::uint64_t, kPriorityCount> byPriority{};
};

traffic_totals
TotalsOf(mesh_workload& aWorkload, std::size_t aRouter)
{
  const mesh_counters counters =
    aWorkload.Mesh().Core(aRouter).Status(aWorkload.Mesh().Now()).counters;
  traffic_totals totals{ counters.bytesSent,         counters.bodyBytesSent, counters.framesSent,
                         counters.messagesDelivered, counters.duplicates,    0,
                         counters.bytesByPriority };
  totals.waiting =
    std::accumulate(counters.waiting.begin(), counters.waiting.end(), std::uint64_t{ 0 });
  return totals;
}

void
PrintSteadyRow(const run_options& aRun, const mesh_workload_options& aOptions)
{
  const double heapBefore = HeapBytes();
  mesh_workload workload(aOptions);
  workload.Start();
  workload.Run(kWarmUp);
  std::vector<traffic_totals> before;
  for (std::size_t i = 0; i < aOptions.routers; ++i) {
    before.push_back(TotalsOf(workload, i));
  }
  const double processorBefore = ProcessorSeconds();
  std::vector<std::int64_t> ages;
  for (std::int64_t second = 0; second < aRun.window.ms / 1000; ++second) {
    workload.Run(1_s);
    const auto now = workload.PresenceAges();
    ages.insert(ages.end(), now.begin(), now.end());
  }
  const double seconds = static_cast<double>(aRun.window.ms) / 1000;
  const double processor =
    (ProcessorSeconds() - processorBefore) / seconds / static_cast<double>(aOptions.routers) * 100;
  double sum = 0;
  double most = 0;
  double frames = 0;
  double copies = 0;
  double waiting = 0;
  std::array<double, kPriorityCount> byPriority{};
  for (std::size_t i = 0; i < aOptions.routers; ++i) {
    const traffic_totals after = TotalsOf(workload, i);
    const double bytes = static_cast<double>(after.bytes - before[i].bytes) / seconds;
    sum += bytes;
    most = std::max(most, bytes);
    frames += static_cast<double>(after.frames - before[i].frames) / seconds;
    const auto news = static_cast<double>(after.delivered - before[i].delivered);
    copies +=
      news > 0 ? (news + static_cast<double>(after.duplicates - before[i].duplicates)) / news : 0;
    waiting += static_cast<double>(after.waiting);
    for (std::size_t priority = 0; priority < kPriorityCount; ++priority) {
      byPriority[priority] +=
        static_cast<double>(after.byPriority[priority] - before[i].byPriority[priority]) / seconds;
    }
  }
  const auto routers = static_cast<double>(aOptions.routers);
  for (double& bytes : byPriority) {
    bytes /= routers;
  }
  fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {:.2f} | {:.0f} | {} | {} | {:.2f} | "
             "{:.2f} | {} |\n",
             aOptions.routers,
             aOptions.groups,
             sum / routers,
             most,
             sum / routers + frames / routers * kHeaderBytes,
             frames / routers,
             copies / routers,
             waiting / routers,
             Quantile(ages, 0.5),
             Quantile(ages, 0.99),
             processor,
             (HeapBytes() - heapBefore) / routers / 1e6,
             fmt::format("{:.0f}", fmt::join(byPriority, " / ")));
}

void
PrintSteadyHead(const char* aTitle)
{
  fmt::print(
    "\n### {}\n\nTargets: at most {:.0f} bytes a second and {} % of a core a peer; evidence "
    "not older than 2,000 ms; 64 MB a daemon.\n\n",
    aTitle,
    kBytesTarget,
    kProcessorTarget);
  fmt::print(
    "| peers | groups | sent B/s mean | sent B/s most | with headers B/s | frames/s | copies "
    "of a message | waiting | evidence age p50 ms | p99 ms | % of a core | heap MB | B/s of "
    "versions / leaving / suspects / members / presence / applied / shares |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

void
RunSteady(const run_options& aRun)
{
  PrintSteadyHead("Steady state, by size of the region");
  for (const size_point& size : aRun.sizes) {
    PrintSteadyRow(aRun, OptionsOf(aRun, size));
  }
}

void
RunSlopes(const run_options& aRun)
{
  PrintSteadyHead("Steady state, slopes");
  for (const std::size_t groups : { 0U, 57U, 114U, 228U }) {
    PrintSteadyRow(aRun, OptionsOf(aRun, { 109, groups }));
  }
  for (const std::size_t routers : { 9U, 32U, 64U, 160U }) {
    PrintSteadyRow(aRun, OptionsOf(aRun, { routers, 57 }));
  }
  for (const double versions : { 0.0, 1.2, 2.4 }) {
    mesh_workload_options options = OptionsOf(aRun, { 109, 57 });
    options.versionsPerSecond = versions;
    PrintSteadyRow(aRun, options);
  }
  for (const double shares : { 0.0, 2.0 }) {
    mesh_workload_options options = OptionsOf(aRun, { 109, 57 });
    options.sharesPerSecond = shares;
    PrintSteadyRow(aRun, options);
  }
  fmt::print(
    "\nRows 1 to 4 vary the groups, 5 to 8 the peers, 9 to 11 the versions a second (0, 1.2, "
    "2.4 instead of 0.6), 12 and 13 the shares a router tells a second (0, 2 instead of 0.5).\n");
}

void
RunForce(const run_options& aRun)
{
  fmt::print(
    "\n### Document in force with one peer that reaches the store\n\nTargets: 1,000 ms with 9 "
    "peers, 3,000 ms with 109.\n\n| peers | p50 ms | most ms | leaving mark p50 ms | most ms "
    "|\n| --- | --- | --- | --- | --- |\n");
  for (const size_point& size : aRun.sizes) {
    mesh_workload_options options = OptionsOf(aRun, size);
    options.oneReachesStore = true;
    mesh_workload workload(options);
    workload.Start();
    workload.Run(kWarmUp);
    std::vector<std::optional<duration>> documents;
    std::vector<std::optional<duration>> marks;
    for (int trial = 0; trial < kTrials; ++trial) {
      workload.Run(500_ms);
      documents.push_back(workload.RunUntilHeld(workload.WriteVersion(), kLimit));
      const leaving_message mark{ { "i" + std::to_string(trial) }, { 1 } };
      marks.push_back(workload.RunUntilDelivered(mark, size.routers / 2, kLimit));
    }
    fmt::print("| {} | {} | {} |\n", size.routers, Milliseconds(documents), Milliseconds(marks));
  }
}

void
RunFaults(const run_options& aRun)
{
  fmt::print(
    "\n### Convergence: all live routers agree on who lives and hold every version\n\n| peers "
    "| cold start ms | after a partition of 30 s, a third cut off, ms | after a third of the "
    "peers restarts at once, ms | after a third dies, ms |\n| --- | --- | --- | --- | --- |\n");
  for (const size_point& size : aRun.sizes) {
    mesh_workload workload(OptionsOf(aRun, size));
    const duration start = workload.Start();
    workload.Run(kWarmUp);
    const std::size_t third = size.routers / 3;
    workload.Mesh().Cut(
      [third](std::size_t aFrom, std::size_t aTo) { return (aFrom < third) != (aTo < third); });
    workload.Run(30_s);
    workload.Mesh().Heal();
    const auto healed = workload.RunUntilConverged(kLimit);
    for (std::size_t i = 0; i < third; ++i) {
      workload.Mesh().Kill(i * 3);
    }
    workload.Run(1_s);
    for (std::size_t i = 0; i < third; ++i) {
      workload.Restart(i * 3);
    }
    const auto restarted = workload.RunUntilConverged(kLimit);
    workload.Run(kWarmUp);
    for (std::size_t i = 0; i < third; ++i) {
      workload.Mesh().Kill(i * 3 + 1, true);
    }
    const auto died = workload.RunUntilConverged(kLimit);
    const auto text = [](const std::optional<duration>& aTime) {
      return aTime ? std::to_string(aTime->ms) : "never";
    };
    fmt::print("| {} | {} | {} | {} | {} |\n",
               size.routers,
               start.ms,
               text(healed),
               text(restarted),
               text(died));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  settings options("bench-mesh", "measures the peer mesh on a simulated clock", PERSIMMON_VERSION);
  options.Add("seed", "1", "seed of every random choice");
  options.Add("window-s", "30", "measured span of a steady run, in seconds of simulated time");
  options.Add("largest", "300", "largest number of peers");
  options.Add("only", "", "steady, slopes, force, herd or faults; all when empty");
  if (const auto code = options.Parse(aCount, aArguments)) {
    return *code;
  }
  run_options run;
  run.seed = static_cast<std::uint64_t>(options.Number("seed", 1, INT64_MAX));
  run.window = { options.Number("window-s", 1, 3600) * 1000 };
  const auto largest = static_cast<std::size_t>(options.Number("largest", 9, 1000));
  const std::string only = options.Text("only");
  if (const auto code = options.Finish()) {
    return *code;
  }
  std::copy_if(kSizes.begin(),
               kSizes.end(),
               std::back_inserter(run.sizes),
               [&](const size_point& aIt) { return aIt.routers <= largest; });
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  fmt::print("## Peer mesh (bench-mesh --seed {} --window-s {})\n", run.seed, run.window.ms / 1000);
  const auto wanted = [&only](const char* aName) { return only.empty() || only == aName; };
  if (wanted("steady")) {
    RunSteady(run);
  }
  if (wanted("slopes")) {
    RunSlopes(run);
  }
  if (wanted("force")) {
    RunForce(run);
  }
  if (wanted("herd")) {
    PrintHerd();
  }
  if (wanted("faults")) {
    RunFaults(run);
  }
  return exit_success;
}
