#pragma once

#include "dispatch/callplan.h"
#include "entry/responder.h"
#include "gateway/attempt.h"
#include "gateway/exchangeregistry.h"
#include "gateway/gatewaycontext.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/httpstatus.h"

#include <fmt/format.h>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Carries one call from its arrival to its last byte: carries out what the call's plan decides,
/// and tells the plan what happens.
template<gateway_dialect Dialect>
class exchange final
  : public active_exchange
  , public std::enable_shared_from_this<exchange<Dialect>>
{
public:
  exchange(gateway_context& aContext,
           exchange_registry& aRegistry,
           dispatch::repeat_budget& aBudget,
           entry::server_request aRequest,
           std::shared_ptr<entry::responder> aResponder,
           incoming_call aCall,
           dispatch::call_facts aFacts,
           customer_name aCustomer)
    : mContext(aContext)
    , mRegistry(aRegistry)
    , mRequest(std::move(aRequest))
    , mResponder(std::move(aResponder))
    , mCall(std::move(aCall))
    , mCustomer(std::move(aCustomer))
    , mPlan(std::move(aFacts), aContext.board, aBudget, aContext.random.Next())
  {
  }

  void Begin();
  void CheckProgress() override;
  void OnUpstreamsChanged() override;
  void OnGroupBroken(const instance_id& aHead) override;
  void OnShutdown() override;

private:
  using attempt_ptr = std::unique_ptr<attempt>;

  void Execute(const dispatch::plan_step& aStep);
  void Execute(const dispatch::send_step& aStep);
  void Execute(const dispatch::wait_step& aStep);
  void Execute(const dispatch::refuse_step& aStep);
  void Execute(const dispatch::fail_step& aStep);
  void Execute(const dispatch::cut_step& aStep);

  void OnResponseHead(attempt& aAttempt, const upstream::response_head& aHead);
  void OnResponseData(attempt& aAttempt, std::string_view aData);
  void OnCallEnded(attempt& aAttempt, const upstream::call_outcome& aOutcome);
  void BeginStream(attempt& aAttempt);
  void ForwardEvents(attempt& aAttempt, std::string_view aData);
  void OnStreamEnded(attempt& aAttempt);
  void OnNotExecuted(attempt& aAttempt);
  void OnAttemptLost(attempt& aAttempt, const char* aResult, bool aCountsAsFailure);
  void DeliverResponse(attempt& aAttempt);
  /// An upstream's own failure of a call that may run again; true when another upstream takes it.
  bool RetryElsewhere(attempt& aAttempt);

  attempt& AddAttempt(const upstream_target& aTarget, time_point aNow);
  upstream::call_handlers MakeHandlers(const attempt& aAttempt);
  /// Ends an attempt and returns its upstream.
  instance_id EndAttempt(attempt& aAttempt, const char* aResult);
  void SendResponse(int aStatus, std::vector<entry::server_header> aHeaders, std::string aBody);
  void Finish(const char* aOutcome);
  void StartDeadlineTimer();
  void RecordDelivery();
  [[nodiscard]] attempt* FindAttempt(const attempt* aAttempt);
  [[nodiscard]] const dispatch::call_facts& Facts() const { return mPlan.Facts(); }

  gateway_context& mContext;
  exchange_registry& mRegistry;
  entry::server_request mRequest;
  std::shared_ptr<entry::responder> mResponder;
  incoming_call mCall;
  customer_name mCustomer;
  dispatch::call_plan mPlan;
  std::vector<attempt_ptr> mAttempts;
  upstream::timer_id mDeadlineTimer;
  std::optional<upstream::timer_id> mRetryTimer;
  bool mStreaming = false;
  /// Time from the arrival to the first byte of the answer.
  std::optional<duration> mFirstByteDelay;
  /// Longest pause between two events that the caller has seen.
  duration mLongestGap;
  time_point mLastDeliveryAt;
  bool mEnded = false;
};

} // namespace persimmon::gateway

#include "gateway/internal/exchangeattempts.h"
#include "gateway/internal/exchangeresponses.h"
#include "gateway/internal/exchangesteps.h"
