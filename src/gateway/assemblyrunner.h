#pragma once

#include "assembly/groupcontroller.h"
#include "gateway/gatewaycontext.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/reportrequest.h"
#include "routes/longesteventwait.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace persimmon::gateway {

/// Runs one group controller for each engine service while this process holds the assembly lease,
/// and executes the actions that the controllers decide on. For use on the event loop's thread
/// only.
template<gateway_dialect Dialect>
class assembly_runner
{
public:
  assembly_runner(gateway_context& aContext, assembly::assembly_options aOptions)
    : mContext(aContext)
    , mOptions(aOptions)
  {
  }

  /// Returns whether this process may give orders now.
  std::function<bool()> mayGiveOrders;
  /// Called with every report that an engine returns.
  std::function<void(const instance_id&, const fleet::engine_report&)> onReport;

  /// Applies a new configuration: creates controllers for new engine services and reconfigures the
  /// existing ones.
  void Configure(const routes::configuration& aConfiguration);
  /// Starts to form groups; orders carry the lease's fencing token.
  void StartLeading(fencing_token aToken);
  /// Sets the availability zones in which no groups are formed.
  void SetEmptiedZones(const std::set<zone_name>& aZones)
  {
    mEmptiedZones = aZones;
    for (auto& [name, controller] : mControllers) {
      controller->SetEmptiedZones(aZones);
    }
  }
  /// Stops forming groups.
  void StopLeading();
  /// Number of orders that were sent and have no outcome yet.
  [[nodiscard]] std::size_t OrdersInFlight() const { return mOrdersInFlight; }
  /// Reports a group that may be broken to all controllers.
  void SuspectGroup(const group_id& aGroup, generation aEpoch);
  /// Reconciles the groups of every leading controller and executes the resulting actions. Call it
  /// frequently.
  void Reconcile();

private:
  using controller_ptr = std::shared_ptr<assembly::group_controller>;

  /// Tells a controller when the groups that it manages last sent data to this process.
  void RecordActivity(assembly::group_controller& aController) const;
  /// Returns the number of accepted orders that an order names, for logs; "unknown" for none.
  static std::string ExpectedText(const assembly::engine_order& aOrder)
  {
    return aOrder.expectedOrders ? std::to_string(*aOrder.expectedOrders) : "unknown";
  }
  void Execute(const controller_ptr& aController, const assembly::send_order& aAction);
  void Execute(const controller_ptr& aController, const assembly::probe_instance& aAction);
  void Execute(const controller_ptr& aController, const assembly::record_decision& aAction);
  void Execute(const controller_ptr& aController, const assembly::record_idle_instances& aAction);
  void Execute(const controller_ptr& aController, const assembly::record_moved_domain& aAction);

  gateway_context& mContext;
  assembly::assembly_options mOptions;
  std::map<service_name, controller_ptr> mControllers;
  /// True while this process holds the assembly lease.
  bool mIsLeader = false;
  std::size_t mOrdersInFlight = 0;
  fencing_token mToken;
  std::set<zone_name> mEmptiedZones;
};

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Configure(const routes::configuration& aConfiguration)
{
  for (const routes::service_profile& service : aConfiguration.services) {
    if (!service.engine) {
      continue;
    }
    controller_ptr& controller = mControllers[service.name];
    if (controller) {
      controller->Configure(service);
    } else {
      controller = std::make_shared<assembly::group_controller>(service, mOptions);
      if (mIsLeader) {
        controller->StartLeading(mToken, mContext.Now());
      }
    }
    controller->SetEmptiedZones(mEmptiedZones);
    controller->SetCallerPatience(routes::LongestEventWait(aConfiguration, service.name));
  }
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::StartLeading(fencing_token aToken)
{
  mIsLeader = true;
  mToken = aToken;
  for (auto& [name, controller] : mControllers) {
    controller->StartLeading(aToken, mContext.Now());
  }
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::StopLeading()
{
  mIsLeader = false;
  for (auto& [name, controller] : mControllers) {
    controller->StopLeading();
  }
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::SuspectGroup(const group_id& aGroup, generation aEpoch)
{
  for (auto& [name, controller] : mControllers) {
    controller->SuspectGroup(aGroup, aEpoch, mContext.Now());
  }
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Reconcile()
{
  const time_point now = mContext.Now();
  for (const auto& entry : mControllers) {
    const controller_ptr& controller = entry.second;
    if (!controller->IsLeading()) {
      continue;
    }
    controller->SetDemand(mContext.demandMeter.DemandByModel(now));
    RecordActivity(*controller);
    for (const assembly::assembly_action& action :
         controller->Reconcile(mContext.upstreams.Fleet(), now)) {
      std::visit([&](const auto& aAction) { Execute(controller, aAction); }, action);
    }
  }
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::RecordActivity(assembly::group_controller& aController) const
{
  for (const assembly::managed_group& group : aController.Groups()) {
    const auto* stats = mContext.upstreams.Stats().Find(group.Head().instance);
    if (stats != nullptr) {
      aController.RecordActivity(group.Head().instance, stats->lastByteAt);
    }
  }
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Execute(const controller_ptr& aController,
                                  const assembly::send_order& aAction)
{
  if (!mayGiveOrders()) {
    aController->HandleOrderOutcome(aAction.id, assembly::order_outcome::not_sent, mContext.Now());
    return;
  }
  fleet::instance target;
  target.id = aAction.order.instance;
  target.address = aAction.address;
  const auto status = std::make_shared<int>(0);
  upstream::call_handlers handlers;
  handlers.onHead = [this, status, engine = target.id](const upstream::response_head& aHead) {
    *status = aHead.status;
    RecordEngineStatements<Dialect>(mContext, engine, aHead);
  };
  handlers.onData = [](std::string_view) {};
  handlers.onDone = [this, status, aController, aAction](const upstream::call_outcome& aOutcome) {
    using assembly::order_outcome;
    --mOrdersInFlight;
    order_outcome outcome = order_outcome::unknown;
    if (aOutcome.end == upstream::call_end::not_sent) {
      outcome = order_outcome::not_sent;
    } else if (*status != 0) {
      outcome = Dialect::OrderOutcomeFromStatus(*status);
    }
    const char* kind = assembly::OrderKindName(aAction.order.kind);
    mContext.metrics.Count(
      kOrders, { { "kind", kind }, { "outcome", assembly::OrderOutcomeName(outcome) } });
    WriteLog(kOrderGiven,
             { { "order", std::to_string(aAction.id.value) },
               { "kind", kind },
               { "instance", aAction.order.instance.value },
               { "group", aAction.order.group.value },
               { "epoch", std::to_string(aAction.order.epoch.value) },
               { "model", aAction.order.model.value },
               { "token", std::to_string(aAction.order.token.value) },
               { "expected", ExpectedText(aAction.order) },
               { "outcome", assembly::OrderOutcomeName(outcome) } });
    aController->HandleOrderOutcome(aAction.id, outcome, mContext.Now());
  };
  ++mOrdersInFlight;
  mContext.calls.Start(Dialect::BuildOrderCall(aAction.order, target), std::move(handlers));
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Execute(const controller_ptr& aController,
                                  const assembly::probe_instance& aAction)
{
  RequestReport<Dialect>(
    mContext,
    aAction.instance,
    aAction.address,
    [this, aController, id = aAction.instance](const fleet::report_result& aResult) {
      aController->HandleReport(id, aResult, mContext.Now());
      if (aResult.report && onReport) {
        onReport(id, *aResult.report);
      }
    });
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Execute(const controller_ptr&, const assembly::record_decision& aAction)
{
  WriteLog(kGroupDecided,
           { { "decision", assembly::DecisionName(aAction.decision) },
             { "group", aAction.group.value },
             { "epoch", std::to_string(aAction.epoch.value) },
             { "model", aAction.model.value },
             { "cause", aAction.cause } });
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Execute(const controller_ptr&,
                                  const assembly::record_idle_instances& aAction)
{
  mContext.metrics.Set(kIdleInstances, static_cast<double>(aAction.count));
  WriteLog(kInstancesIdle,
           { { "count", std::to_string(aAction.count) }, { "domains", aAction.summary } });
}

template<gateway_dialect Dialect>
void
assembly_runner<Dialect>::Execute(const controller_ptr&,
                                  const assembly::record_moved_domain& aAction)
{
  std::string shares;
  for (const auto& [model, share] : aAction.demandShares) {
    shares += fmt::format("{}{}:{:.2f}", shares.empty() ? "" : ",", model.value, share);
  }
  mContext.metrics.Count(kMovedDomains, { { "model", aAction.model.value } });
  WriteLog(
    kDomainMoved,
    { { "domain", aAction.domain.value }, { "model", aAction.model.value }, { "demand", shares } });
}

} // namespace persimmon::gateway
