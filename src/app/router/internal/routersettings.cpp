#include "app/router/routersettings.h"

namespace persimmon::router {
namespace {

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxBodyLimit = 64 << 20;
constexpr std::int64_t kMaxStopMs = 3600000;

std::size_t
ReadCount(settings& aSettings, const std::string& aName, std::int64_t aHighest)
{
  return static_cast<std::size_t>(aSettings.Number(aName, 1, aHighest));
}

} // namespace

void
DeclareRouterSettings(settings& aSettings)
{
  aSettings.AddRequired("id", "name of this router, unique among all");
  aSettings.AddRequired("zone", "availability zone of this router");
  aSettings.AddRequired("listen", "address for callers, ip:port");
  aSettings.AddRequired("store-url", "address of the platform's object API, http://ip:port");
  aSettings.Add("mesh-listen", "", "address for other routers and placers, ip:port");
  aSettings.Add("peers", "", "mesh addresses of other routers, ip:port, between commas");
  aSettings.Add("mesh-key", "", "key that all members of the mesh share");
  aSettings.Add("history", "", "file to append a history of events to");
  aSettings.Add("test-control", "", "for tests only: address that cuts mesh links, ip:port");
  aSettings.AddLogLevel();
  aSettings.Add("entry-threads", "2", "threads that talk to callers");
  aSettings.Add("upstream-threads", "2", "threads that talk to upstreams");
  aSettings.Add("max-body-bytes", "8388608", "largest request body");
  aSettings.Add("notice-ms", "500", "time between not ready and refusing requests at a stop");
  aSettings.Add("drain-ms", "60000", "longest time for requests in flight at a stop");
}

router_settings
ReadRouterSettings(settings& aSettings)
{
  router_settings result;
  result.id.value = aSettings.Text("id");
  result.zone.value = aSettings.Text("zone");
  result.listen.value = aSettings.Text("listen");
  result.storeUrl = aSettings.Text("store-url");
  result.meshListen.value = aSettings.Text("mesh-listen");
  for (std::string& peer : aSettings.List("peers")) {
    result.peers.push_back({ std::move(peer) });
  }
  result.meshKey = aSettings.Text("mesh-key");
  result.historyPath = aSettings.Text("history");
  result.testControl.value = aSettings.Text("test-control");
  result.lowestLevel = aSettings.LogLevel();
  result.entryThreads = ReadCount(aSettings, "entry-threads", kMaxThreads);
  result.upstreamThreads = ReadCount(aSettings, "upstream-threads", kMaxThreads);
  result.maxBodyBytes = ReadCount(aSettings, "max-body-bytes", kMaxBodyLimit);
  result.noticeTime.ms = aSettings.Number("notice-ms", 0, kMaxStopMs);
  result.drainTime.ms = aSettings.Number("drain-ms", 0, kMaxStopMs);
  return result;
}

} // namespace persimmon::router
