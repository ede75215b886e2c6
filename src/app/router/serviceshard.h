#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routing/admission.h"
#include "routing/retrybudget.h"
#include "routing/retrydecision.h"
#include "routing/serviceview.h"
#include "routing/upstreamchooser.h"

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace persimmon::router {

/// An upstream that was chosen for an attempt, with the dispatch recorded.
struct chosen_upstream
{
  routing::upstream_choice choice;
  routing::dispatch_ticket ticket;
};

/// Figures of one service for the metrics.
struct service_figures
{
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t eligible = 0;
  std::size_t onProbation = 0;
  double retriesLeft = 0;
};

/// One service's state at this router under a lock of its own: the view in force, admission, load
/// and health of upstreams, and the retry budget. Functions that return admission actions leave it
/// to the caller to carry them out, without the lock.
class service_shard
{
public:
  service_shard(const service_name& aService,
                const router_id& aSelf,
                const zone_name& aZone,
                std::uint64_t aSeed,
                time_point aNow);

  [[nodiscard]] const service_name& Name() const { return mName; }
  [[nodiscard]] std::shared_ptr<const routing::service_view> View() const;

  /// Puts a new view in force.
  std::vector<routing::admission_action> Update(std::shared_ptr<const routing::service_view> aView,
                                                time_point aNow);
  std::vector<routing::admission_action> Arrive(const routing::admission_request& aRequest,
                                                time_point aNow);
  std::vector<routing::admission_action> Finish(const request_id& aRequest, time_point aNow);
  std::vector<routing::admission_action> Leave(const request_id& aRequest, time_point aNow);
  std::vector<routing::admission_action> Tick(time_point aNow);

  /// True when no upstream could take requests for longer than a repair of a group takes.
  [[nodiscard]] bool IsOut(time_point aNow) const;

  /// Chooses an upstream and records the dispatch. Without one, `choice.target` is null.
  chosen_upstream Choose(const routing::choice_request& aRequest, time_point aNow);
  /// Takes a load that came with a response.
  void Report(std::size_t aSlot, const routing::load_report& aReport);
  void Progress(const routing::dispatch_ticket& aTicket, std::uint32_t aTokens, time_point aNow);
  void FinishAttempt(const routing::dispatch_ticket& aTicket,
                     const routing::attempt_result& aResult,
                     time_point aNow);
  /// Compares the upstreams' speeds; returns changes of health.
  std::vector<routing::health_change> Maintain(time_point aNow);

  routing::retry_verdict DecideRetry(const routing::failed_attempt& aFailed, time_point aNow);

  void Apply(const peers::customer_load_message& aShare, time_point aNow);
  [[nodiscard]] std::vector<peers::customer_load_message> Shares() const;
  [[nodiscard]] std::size_t Running() const;
  [[nodiscard]] std::size_t Waiting() const;
  [[nodiscard]] service_figures Figures(time_point aNow) const;

private:
  /// Takes the number of upstreams that can take requests to the admission.
  std::vector<routing::admission_action> CountUpstreams(time_point aNow);

  service_name mName;
  mutable std::mutex mMutex;
  std::shared_ptr<const routing::service_view> mView;
  routing::admission mAdmission;
  routing::upstream_chooser mChooser;
  routing::retry_budget mBudget{ 0 };
  /// When an upstream was last seen that could take requests.
  time_point mEligibleAt;
};

} // namespace persimmon::router
