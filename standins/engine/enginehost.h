#pragma once

#include "entry/responder.h"
#include "entry/serverrequest.h"
#include "history/historywriter.h"
#include "standins/common/fleetfaults.h"
#include "standins/engine/engineinstance.h"
#include "standins/engine/sharedboard.h"

#include <functional>
#include <memory>
#include <set>

namespace persimmon::standins {

/// What a host tells its process.
struct host_callbacks
{
  /// The instance died (false) or returned (true). Not called on a thread that handles a call.
  std::function<void(bool)> onAlive;
  /// Weights of a model and version are needed; the function is to be called when they are there.
  std::function<void(const std::string&, const std::string&, std::function<void()>)> onFetch;
};

/// One engine instance with its callers' connections.
class engine_host
{
public:
  using fault_plan = fleet_faults;

  engine_host(const engine_options& aOptions,
              const instance_id& aInstance,
              shared_board& aBoard,
              history::history_writer& aHistory,
              host_callbacks aCallbacks);
  ~engine_host();

  /// Sets the address under which other members know the instance; call before all else.
  void SetAddress(const endpoint& aAddress);
  /// Handles one call; does not block.
  void Handle(const entry::server_request& aRequest,
              const std::shared_ptr<entry::responder>& aResponder);
  /// Lets time pass.
  void Tick();
  /// Puts faults in force.
  void Apply(const fleet_faults& aPlan);
  /// Begins a new life after a crash.
  void ReturnFromCrash();
  /// Addresses of the members that the instance hears as a head.
  [[nodiscard]] std::set<endpoint> HeardAddresses() const;
  [[nodiscard]] incarnation Life() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
