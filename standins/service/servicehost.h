#pragma once

#include "entry/responder.h"
#include "entry/serverrequest.h"
#include "history/historywriter.h"
#include "standins/service/executioncounter.h"
#include "standins/service/serviceinstance.h"

#include <functional>
#include <memory>

namespace persimmon::standins {

/// One instance of a plain service with its callers' connections. A call goes on running when its
/// caller leaves.
class service_host
{
public:
  using fault_plan = service_faults;

  service_host(const service_options& aOptions,
               const instance_id& aInstance,
               execution_counter& aExecutions,
               history::history_writer& aHistory,
               std::function<void(bool)> aOnAlive);
  ~service_host();

  void SetAddress(const endpoint& aAddress);
  /// Handles one call; does not block.
  void Handle(const entry::server_request& aRequest,
              const std::shared_ptr<entry::responder>& aResponder);
  /// Lets time pass.
  void Tick();
  /// Puts faults in force.
  void Apply(const service_faults& aPlan);
  /// Begins a new life after a crash.
  void ReturnFromCrash();
  [[nodiscard]] incarnation Life() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
