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
  : public live_exchange
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
  void Watch() override;
  void UpstreamsChanged() override;
  void GroupLost(const instance_id& aHead) override;
  void Stop() override;

private:
  using attempt_ptr = std::unique_ptr<attempt>;

  void Do(const dispatch::plan_step& aStep);
  void Do(const dispatch::send_step& aStep);
  void Do(const dispatch::wait_step& aStep);
  void Do(const dispatch::refuse_step& aStep);
  void Do(const dispatch::fail_step& aStep);
  void Do(const dispatch::cut_step& aStep);

  void OnHead(attempt& aAttempt, const upstream::response_head& aHead);
  void OnData(attempt& aAttempt, std::string_view aData);
  void OnDone(attempt& aAttempt, const upstream::call_outcome& aOutcome);
  void OnStreamHead(attempt& aAttempt);
  void OnStreamData(attempt& aAttempt, std::string_view aData);
  void OnStreamEnd(attempt& aAttempt);
  void OnNotRun(attempt& aAttempt);
  void OnLost(attempt& aAttempt, const char* aWhy, bool aFault);
  void Deliver(attempt& aAttempt);
  /// An upstream's own failure of a call that may run again; true when another upstream takes it.
  bool TryElsewhere(attempt& aAttempt);

  attempt& AddAttempt(const upstream_target& aTarget, time_point aNow);
  upstream::call_handlers HandlersOf(const attempt& aAttempt);
  /// Ends an attempt and returns its upstream.
  instance_id Drop(attempt& aAttempt, const char* aResult);
  void Answer(int aStatus, std::vector<entry::server_header> aHeaders, std::string aBody);
  void Finish(const char* aOutcome);
  void ArmDeadline();
  void NoteBytes();
  [[nodiscard]] attempt* Find(const attempt* aAttempt);
  [[nodiscard]] const dispatch::call_facts& Facts() const { return mPlan.Facts(); }

  gateway_context& mContext;
  exchange_registry& mRegistry;
  entry::server_request mRequest;
  std::shared_ptr<entry::responder> mResponder;
  incoming_call mCall;
  customer_name mCustomer;
  dispatch::call_plan mPlan;
  std::vector<attempt_ptr> mAttempts;
  upstream::timer_id mDeadline;
  std::optional<upstream::timer_id> mWait;
  bool mStreaming = false;
  /// Time from the arrival to the first byte of the answer.
  std::optional<duration> mFirstByte;
  /// Longest pause between two events that the caller has seen.
  duration mLongestGap;
  time_point mLastByte;
  bool mEnded = false;
};

} // namespace persimmon::gateway

#include "gateway/internal/exchangeanswers.h"
#include "gateway/internal/exchangesteps.h"
#include "gateway/internal/exchangewatch.h"
