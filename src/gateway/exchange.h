#pragma once

#include "dispatch/callstatemachine.h"
#include "entry/responder.h"
#include "gateway/attempt.h"
#include "gateway/attemptfault.h"
#include "gateway/exchangeregistry.h"
#include "gateway/gatewaycontext.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/httpstatus.h"
#include "poison/poisonevents.h"
#include "poison/promptpartfingerprint.h"
#include "poison/requestfingerprint.h"
#include "poison/suspicionlog.h"

#include <fmt/format.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Processes one call from its arrival to the last byte of its response: executes the actions that
/// the call's state machine returns and reports their outcomes to it.
template<gateway_dialect Dialect>
class exchange final
  : public active_exchange
  , public std::enable_shared_from_this<exchange<Dialect>>
{
public:
  exchange(gateway_context& aContext,
           exchange_registry& aRegistry,
           dispatch::retry_budget& aBudget,
           entry::server_request aRequest,
           std::shared_ptr<entry::responder> aResponder,
           incoming_call aCall,
           dispatch::call_attributes aAttributes,
           customer_name aCustomer)
    : mContext(aContext)
    , mRegistry(aRegistry)
    , mRequest(std::move(aRequest))
    , mResponder(std::move(aResponder))
    , mCall(std::move(aCall))
    , mCustomer(std::move(aCustomer))
    , mStateMachine(std::move(aAttributes), aContext.upstreams, aBudget, aContext.random.Next())
    , mIdentities(MakeIdentities())
  {
  }

  /// Registers the exchange, starts its deadline timer and executes the first action.
  void Begin();
  void CheckProgress() override;
  void OnUpstreamsChanged() override;
  [[nodiscard]] std::size_t Rank() const override { return Attributes().rank; }
  [[nodiscard]] time_point ArrivedAt() const override { return Attributes().arrivedAt; }
  void OnShutdown() override;

private:
  using attempt_ptr = std::unique_ptr<attempt>;

  [[nodiscard]] poison::request_identities MakeIdentities() const;
  /// Ends the exchange, whose caller waits for no answer any more.
  void OnCallerLeft();
  /// Returns the time for which the request must not be sent, and logs it; nothing when it may be.
  [[nodiscard]] std::optional<duration> QuarantineLeft() const;
  /// Executes an action of the state machine; does nothing once the exchange has ended.
  void Execute(const dispatch::call_action& aAction);
  void Execute(const dispatch::send_action& aAction);
  void Execute(const dispatch::wait_action& aAction);
  void Execute(const dispatch::refuse_action& aAction);
  void Execute(const dispatch::fail_action& aAction);
  void Execute(const dispatch::abort_action& aAction);
  void Execute(const dispatch::await_action&) {}

  void OnResponseHead(attempt& aAttempt, const upstream::response_head& aHead);
  void OnResponseData(attempt& aAttempt, std::string_view aData);
  void OnCallEnded(attempt& aAttempt, const upstream::call_outcome& aOutcome);
  void BeginStream(attempt& aAttempt);
  /// Keeps a part of a body that is sent when it is complete.
  void KeepBody(attempt& aAttempt, std::string_view aData);
  /// Sends events to the caller; stops reading from the upstream while the caller does not read.
  void WriteEvents(const attempt& aAttempt, std::string_view aEvents);
  /// Reads from the upstream again once the caller has read.
  void OnCallerHasRead();
  void ForwardEvents(attempt& aAttempt, std::string_view aData);
  void OnStreamEnded(attempt& aAttempt);
  /// Returns whether an attempt is silent on a direct path that was lost since it was sent.
  [[nodiscard]] bool IsPathLost(const attempt& aAttempt) const;
  /// Returns how certain it is that an attempt's group does not continue it; nothing when nothing
  /// speaks against the group.
  [[nodiscard]] std::optional<fleet::fault_evidence> EvidenceAgainst(const attempt& aAttempt) const;
  /// Returns whether the group that an attempt was sent to is known.
  [[nodiscard]] bool IsGroupRegistered(const attempt& aAttempt) const;
  /// Returns the first attempt that receives nothing from a group that is proved to be broken;
  /// nullptr when there is none. Marks those whose groups are only silent as stalled.
  attempt* FindAttemptAtBrokenGroup();
  /// Sends a call whose upstream is silent to a second one as well, if the call may run again. The
  /// first attempt stays open: whichever is answered first ends the other.
  void SendBesideStalledAttempt();
  /// Ends all attempts but one, which is being answered.
  void EndOtherAttempts(const attempt& aAnswered);
  /// Ends an attempt whose upstream stated that it has not executed the call.
  void OnNotExecuted(attempt& aAttempt);
  /// Lets an upstream that refused a call receive no calls for a while.
  void AvoidAfterRefusal(const attempt& aAttempt);
  /// Ends an attempt that may have executed the call but delivers no complete response. With
  /// aCountsAsFailure, a failure of its upstream is recorded, and the loss is reported to the crash
  /// monitor.
  void OnAttemptLost(attempt& aAttempt, const char* aResult, bool aCountsAsFailure);
  /// Reports an attempt that broke off, got no response or no valid one to the crash monitor.
  void ReportLoss(attempt& aAttempt, loss_scope aScope);
  /// Returns which instances may have crashed when the group of an attempt stands still.
  [[nodiscard]] loss_scope ScopeOfStandstill(const attempt& aAttempt) const;
  /// Sends a complete response to the caller, or retries a server error elsewhere.
  void DeliverResponse(attempt& aAttempt);
  /// Retries a call with a server error response on another upstream when the call and its retry
  /// budget allow it. Returns whether it did.
  bool RetryElsewhere(attempt& aAttempt);

  [[nodiscard]] upstream_target MakeTarget(const dispatch::send_action& aAction,
                                           const fleet::instance& aInstance,
                                           time_point aNow) const;
  /// Logs that the call is about to be sent, and counts it if limits left out other upstreams.
  void LogSend(const dispatch::send_action& aAction, const upstream_target& aTarget);
  attempt& AddAttempt(const upstream_target& aTarget, incarnation aIncarnation, time_point aNow);
  /// Returns handlers that pass the events of an attempt's call on while the attempt exists.
  upstream::call_handlers MakeHandlers(const attempt& aAttempt);
  /// Cancels and removes an attempt, and returns its upstream.
  instance_id EndAttempt(attempt& aAttempt, const char* aResult);
  void SendResponse(int aStatus, std::vector<entry::server_header> aHeaders, std::string aBody);
  /// Ends the exchange: cancels its attempts and timers, and records its outcome.
  void Finish(const char* aOutcome);
  void StartDeadlineTimer();
  /// Records the delay of the first byte and the longest gap between deliveries to the caller.
  void RecordDelivery();
  /// Returns the attempt at an address; nullptr when it has been removed.
  [[nodiscard]] attempt* FindAttempt(std::uint64_t aNumber);
  [[nodiscard]] const dispatch::call_attributes& Attributes() const
  {
    return mStateMachine.Attributes();
  }

  gateway_context& mContext;
  exchange_registry& mRegistry;
  entry::server_request mRequest;
  std::shared_ptr<entry::responder> mResponder;
  incoming_call mCall;
  customer_name mCustomer;
  dispatch::call_state_machine mStateMachine;
  /// Identifies the request and the shared parts of its prompt.
  poison::request_identities mIdentities;
  std::vector<attempt_ptr> mAttempts;
  std::uint64_t mLastAttemptNumber = 0;
  upstream::timer_id mDeadlineTimer;
  std::optional<upstream::timer_id> mRetryTimer;
  bool mStreaming = false;
  /// Number of the attempt whose head the caller got; 0 before the stream.
  std::uint64_t mStreamBegunBy = 0;
  /// The call that is not read from while the caller does not read; nothing when all are.
  std::optional<upstream::call_id> mPausedCall;
  /// Time from the arrival to the first byte of the response; nothing before it.
  std::optional<duration> mFirstByteDelay;
  /// Longest time between two deliveries to the caller.
  duration mLongestGap;
  time_point mLastDeliveryAt;
  bool mEnded = false;
};

} // namespace persimmon::gateway

#include "gateway/internal/exchangeactions.h"
#include "gateway/internal/exchangeattempts.h"
#include "gateway/internal/exchangeresponses.h"
