#include "standins/engine/enginefleet.h"

#include "entry/httpserver.h"
#include "standins/common/faultcontrol.h"
#include "standins/common/registrar.h"
#include "standins/common/standinevents.h"
#include "standins/common/timerloop.h"
#include "standins/engine/enginefaults.h"
#include "standins/engine/enginehost.h"
#include "standins/engine/memberpoller.h"
#include "standins/engine/sharedboard.h"
#include "standins/engine/weightfetcher.h"

#include <fmt/format.h>
#include <mutex>
#include <vector>

namespace persimmon::standins {
namespace {

constexpr duration kTickPeriod{ 5 };
constexpr duration kMemberPeriod{ 100 };

struct fleet_member
{
  instance_id instance;
  endpoint address;
  bool leaving = false;
  std::unique_ptr<engine_host> host;
};

} // namespace

struct engine_fleet::implementation
{
  fleet_options options;
  history::history_writer& history;
  std::string reason;
  shared_board board;
  entry::http_server server;
  // Apart from the instances' server, whose listeners are closed and opened from here.
  entry::http_server controlServer{ { .threads = 1 } };
  registrar registry;
  std::vector<fleet_member> members;
  std::mutex faultMutex;
  fault_control<engine_faults> faults;
  std::unique_ptr<weight_fetcher> weights;
  member_poller poller;
  timer_loop timers;

  implementation(const fleet_options& aOptions, history::history_writer& aHistory)
    : options(aOptions)
    , history(aHistory)
    , server({ .threads = aOptions.threads })
    , registry(aOptions.platformUrl)
    , faults([this](const engine_faults&, const engine_faults& aPlan) { Apply(aPlan); })
    , poller(board)
  {
  }

  bool StartMember(std::size_t aIndex);
  bool StartControl();
  bool Listen(fleet_member& aMember, const endpoint& aAddress);
  void OnAlive(std::size_t aIndex, bool aAlive);
  void OnFetch(std::size_t aIndex,
               std::uint64_t aFetch,
               const std::string& aModel,
               const std::string& aVersion);
  void Apply(const engine_faults& aPlan);
  void Tick();
  void UpdatePoller();
  platform::listed_instance Listed(const fleet_member& aMember) const;
};

engine_fleet::engine_fleet(const fleet_options& aOptions, history::history_writer& aHistory)
  : mImplementation(std::make_unique<implementation>(aOptions, aHistory))
{
}

engine_fleet::~engine_fleet()
{
  // Nothing may call the members while they go.
  mImplementation->controlServer.Stop();
  mImplementation->timers.Stop();
  mImplementation->weights.reset();
  mImplementation->server.Stop();
}

const std::string&
engine_fleet::LastReason() const
{
  return mImplementation->reason;
}

bool
engine_fleet::Start()
{
  implementation& fleet = *mImplementation;
  if (fleet.options.weightBytes > 0) {
    fleet.weights =
      std::make_unique<weight_fetcher>(fleet.options.platformUrl, fleet.options.weightBytes);
  }
  fleet.members.resize(fleet.options.instances);
  for (std::size_t i = 0; i < fleet.members.size(); ++i) {
    if (!fleet.StartMember(i)) {
      return false;
    }
  }
  std::vector<platform::listed_instance> listed;
  for (const fleet_member& member : fleet.members) {
    listed.push_back(fleet.Listed(member));
  }
  fleet.registry.Add(listed);
  fleet.timers.Every(kTickPeriod, [&fleet] { fleet.Tick(); });
  fleet.timers.Every(kMemberPeriod, [&fleet] { fleet.UpdatePoller(); });
  return fleet.StartControl();
}

bool
engine_fleet::implementation::StartMember(std::size_t aIndex)
{
  fleet_member& member = members[aIndex];
  member.instance.value = fmt::format("{}-{}", options.domain.value, aIndex);
  engine_options engine = options.engine;
  engine.fetchesWeights = options.weightBytes > 0;
  host_callbacks callbacks;
  callbacks.onAlive = [this, aIndex](bool aAlive) { OnAlive(aIndex, aAlive); };
  callbacks.onFetch =
    [this, aIndex](std::uint64_t aFetch, const std::string& aModel, const std::string& aVersion) {
      OnFetch(aIndex, aFetch, aModel, aVersion);
    };
  member.host =
    std::make_unique<engine_host>(engine, member.instance, board, history, std::move(callbacks));
  const std::size_t port = options.basePort == 0 ? 0 : options.basePort + aIndex;
  if (!Listen(member, { fmt::format("{}:{}", options.ip, port) })) {
    return false;
  }
  member.host->SetAddress(member.address);
  return true;
}

bool
engine_fleet::implementation::Listen(fleet_member& aMember, const endpoint& aAddress)
{
  engine_host* host = aMember.host.get();
  const auto bound =
    server.Listen(aAddress, [host](const entry::server_request& aRequest, const auto& aResponder) {
      host->Handle(aRequest, aResponder);
    });
  if (!bound) {
    reason = server.LastReason();
    WriteLog(kListenFailed, { { "address", aAddress.value }, { "reason", reason } });
    return false;
  }
  aMember.address = *bound;
  return true;
}

bool
engine_fleet::implementation::StartControl()
{
  const auto bound = controlServer.Listen(
    options.control, [this](const entry::server_request& aRequest, auto aResponder) {
      if (aRequest.path == "/control/faults") {
        faults.Handle(aRequest, *aResponder);
      } else {
        aResponder->Send({ 404, {}, "" });
      }
    });
  if (!bound) {
    reason = controlServer.LastReason();
    WriteLog(kListenFailed, { { "address", options.control.value }, { "reason", reason } });
    return false;
  }
  const std::string first = members.empty() ? "" : members.front().address.value;
  WriteLog(kStandinStarted, { { "address", first }, { "control", bound->value } });
  return true;
}

platform::listed_instance
engine_fleet::implementation::Listed(const fleet_member& aMember) const
{
  platform::listed_instance listed;
  listed.instance = aMember.instance;
  listed.address = aMember.address;
  listed.zone = options.zone;
  listed.domain = options.domain;
  listed.life = aMember.host->Life();
  listed.leaving = aMember.leaving;
  listed.fencing = options.engine.fencing;
  return listed;
}

void
engine_fleet::implementation::OnAlive(std::size_t aIndex, bool aAlive)
{
  fleet_member& member = members[aIndex];
  if (aAlive) {
    Listen(member, endpoint{ member.address });
    registry.Add({ Listed(member) });
    return;
  }
  server.Close(member.address);
  registry.Remove({ member.instance });
  const duration crashReturn = faults.Current().crashReturn;
  if (crashReturn.ms > 0) {
    timers.After(crashReturn, [&member] { member.host->ReturnFromCrash(); });
  }
}

void
engine_fleet::implementation::OnFetch(std::size_t aIndex,
                                      std::uint64_t aFetch,
                                      const std::string& aModel,
                                      const std::string& aVersion)
{
  engine_host* host = members[aIndex].host.get();
  weights->Fetch(aModel, aVersion, [host, aFetch] { host->WeightsFetched(aFetch); });
}

void
engine_fleet::implementation::Apply(const engine_faults& aPlan)
{
  WriteLog(kFaultsChanged, { { "plan", aPlan.Render().dump() } });
  const std::lock_guard lock(faultMutex);
  for (fleet_member& member : members) {
    const instance_faults wanted = aPlan.Of(member.instance);
    const bool marked = wanted.leaving != member.leaving;
    member.leaving = wanted.leaving;
    member.host->Apply(wanted);
    if (marked && !wanted.dead) {
      registry.Add({ Listed(member) });
    }
  }
}

void
engine_fleet::implementation::Tick()
{
  for (fleet_member& member : members) {
    member.host->Tick();
  }
}

void
engine_fleet::implementation::UpdatePoller()
{
  std::set<endpoint> remote;
  for (const fleet_member& member : members) {
    remote.merge(member.host->HeardAddresses());
  }
  for (const fleet_member& member : members) {
    remote.erase(member.address);
  }
  poller.SetAddresses(std::move(remote));
}

} // namespace persimmon::standins
