#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "entry/httpserver.h"
#include "platform/instancelist.h"
#include "standins/common/faultcontrol.h"
#include "standins/common/fleetfaults.h"
#include "standins/common/registrar.h"
#include "standins/common/standinevents.h"
#include "standins/common/timerloop.h"

#include <fmt/format.h>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmon::standins {

/// What a process with many instances was told of them.
struct fleet_settings
{
  /// Instances are named PREFIX-0, PREFIX-1, ...
  std::string prefix;
  zone_name zone;
  /// Fabric domain of model engines; empty for plain services.
  domain_id domain;
  /// Name of the plain service; empty for model engines.
  service_name service;
  bool fencing = true;
  std::size_t instances = 1;
  std::string ip;
  /// Port of the first instance, the others follow; 0 takes free ones.
  std::uint16_t basePort = 0;
  std::string platformUrl;
  endpoint control;
  std::size_t threads = 2;
};

/// The instances of one process: their listeners, their entries in the platform's list, their
/// faults and the passing of time. Host is one instance and has
/// - the type fault_plan with a static Parse(), Render(), and a member or base fleet_faults,
/// - SetAddress(endpoint), Handle(request, responder), Tick(), Apply(fault_plan),
///   ReturnFromCrash() and Life().
template<typename Host>
class fleet
{
public:
  using fault_plan = typename Host::fault_plan;
  /// Is told that the instance died (false) or returned (true), not on a thread that serves calls.
  using alive_callback = std::function<void(bool)>;
  using host_maker = std::function<std::unique_ptr<Host>(const instance_id&, alive_callback)>;

  explicit fleet(const fleet_settings& aSettings)
    : mSettings(aSettings)
    , mServer({ .threads = aSettings.threads })
    , mRegistry(aSettings.platformUrl)
    , mFaults([this](const fault_plan&, const fault_plan& aPlan) { Apply(aPlan); })
  {
  }

  ~fleet() { Stop(); }

  /// Makes the instances, listens and tells the platform of them. Failures are logged.
  bool Start(const host_maker& aMakeHost)
  {
    mMembers.resize(mSettings.instances);
    for (std::size_t i = 0; i < mMembers.size(); ++i) {
      if (!StartMember(i, aMakeHost)) {
        return false;
      }
    }
    std::vector<platform::listed_instance> listed;
    for (const fleet_member& member : mMembers) {
      listed.push_back(Listed(member));
    }
    mRegistry.Add(listed);
    mTimers.Every(kTickPeriod, [this] { Tick(); });
    return StartControl();
  }

  /// Stops all threads; nothing calls a host any more.
  void Stop()
  {
    mControlServer.Stop();
    mTimers.Stop();
    mServer.Stop();
  }

  timer_loop& Timers() { return mTimers; }

  /// Calls a function with each host and its address.
  template<typename Function>
  void ForEach(Function&& aFunction)
  {
    for (const fleet_member& member : mMembers) {
      aFunction(*member.host, member.address);
    }
  }

private:
  static constexpr duration kTickPeriod{ 5 };
  static constexpr int kNotFound = 404;

  struct fleet_member
  {
    instance_id instance;
    endpoint address;
    bool leaving = false;
    std::unique_ptr<Host> host;
  };

  bool StartMember(std::size_t aIndex, const host_maker& aMakeHost)
  {
    fleet_member& member = mMembers[aIndex];
    member.instance.value = fmt::format("{}-{}", mSettings.prefix, aIndex);
    member.host =
      aMakeHost(member.instance, [this, &member](bool aAlive) { OnAlive(member, aAlive); });
    const std::size_t port = mSettings.basePort == 0 ? 0 : mSettings.basePort + aIndex;
    if (!Listen(member, { fmt::format("{}:{}", mSettings.ip, port) })) {
      return false;
    }
    member.host->SetAddress(member.address);
    return true;
  }

  bool Listen(fleet_member& aMember, const endpoint& aAddress)
  {
    Host* host = aMember.host.get();
    const auto bound = mServer.Listen(
      aAddress, [host](const entry::server_request& aRequest, const auto& aResponder) {
        host->Handle(aRequest, aResponder);
      });
    if (!bound) {
      WriteLog(kListenFailed,
               { { "address", aAddress.value }, { "reason", mServer.LastReason() } });
      return false;
    }
    aMember.address = *bound;
    return true;
  }

  bool StartControl()
  {
    const auto bound = mControlServer.Listen(
      mSettings.control, [this](const entry::server_request& aRequest, const auto& aResponder) {
        if (aRequest.path == "/control/faults") {
          mFaults.Handle(aRequest, *aResponder);
        } else {
          aResponder->Send({ kNotFound, {}, "" });
        }
      });
    if (!bound) {
      WriteLog(
        kListenFailed,
        { { "address", mSettings.control.value }, { "reason", mControlServer.LastReason() } });
      return false;
    }
    const std::string first = mMembers.empty() ? "" : mMembers.front().address.value;
    WriteLog(kStandinStarted, { { "address", first }, { "control", bound->value } });
    return true;
  }

  platform::listed_instance Listed(const fleet_member& aMember) const
  {
    platform::listed_instance listed;
    listed.id = aMember.instance;
    listed.address = aMember.address;
    listed.zone = mSettings.zone;
    listed.domain = mSettings.domain;
    listed.service = mSettings.service;
    listed.incarnation = aMember.host->Life();
    listed.leaving = aMember.leaving;
    listed.checksFencingTokens = mSettings.fencing;
    return listed;
  }

  void OnAlive(fleet_member& aMember, bool aAlive)
  {
    if (aAlive) {
      Listen(aMember, endpoint{ aMember.address });
      mRegistry.Add({ Listed(aMember) });
      return;
    }
    mServer.Close(aMember.address);
    mRegistry.Remove({ aMember.instance });
    const duration crashReturn = mFaults.Current().crashReturn;
    if (crashReturn.ms > 0) {
      mTimers.After(crashReturn, [&aMember] { aMember.host->ReturnFromCrash(); });
    }
  }

  void Apply(const fault_plan& aPlan)
  {
    WriteLog(kFaultsChanged, { { "plan", aPlan.Render().dump() } });
    const std::lock_guard lock(mApplyMutex);
    for (fleet_member& member : mMembers) {
      const instance_faults wanted = aPlan.Of(member.instance);
      const bool marked = wanted.leaving != member.leaving;
      member.leaving = wanted.leaving;
      member.host->Apply(aPlan);
      if (marked && !wanted.dead) {
        mRegistry.Add({ Listed(member) });
      }
    }
  }

  void Tick()
  {
    for (fleet_member& member : mMembers) {
      member.host->Tick();
    }
  }

  fleet_settings mSettings;
  entry::http_server mServer;
  // Apart from the instances' server, whose listeners are closed and opened from its thread.
  entry::http_server mControlServer{ { .threads = 1 } };
  registrar mRegistry;
  std::vector<fleet_member> mMembers;
  std::mutex mApplyMutex;
  fault_control<fault_plan> mFaults;
  timer_loop mTimers;
};

} // namespace persimmon::standins
