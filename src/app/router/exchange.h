#pragma once

#include "app/router/decisionrecord.h"
#include "app/router/exchangecontext.h"
#include "app/router/parsedcall.h"
#include "app/router/serviceshard.h"
#include "app/router/sseframer.h"
#include "entry/responder.h"
#include "routing/requestflow.h"
#include "upstream/upstreamloop.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::router {

/// Carries out what a request's flow decides. Lives on one upstream loop: its state is touched on
/// that loop's thread only, so that bytes of a stream pass without a lock of its own.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
  exchange(request_id aId,
           parsed_call aCall,
           entry::server_request aRequest,
           std::shared_ptr<entry::responder> aResponder,
           upstream::upstream_loop& aLoop,
           exchange_context& aContext);

  /// Puts the request in the registry and starts its flow.
  void Start();
  /// Brings an event to the flow; from any thread, never within the call itself.
  void Post(routing::flow_event aEvent);
  /// Tells that an upstream lost a member or went silent; from any thread.
  void UpstreamLost(const upstream_id& aUpstream, generation aVersion);
  /// Counts and logs what the admission decided; from any thread.
  void RecordAdmission(const routing::admission_action& aAction) const;
  [[nodiscard]] const service_name& Service() const { return mCall.service->Name(); }

private:
  /// The attempt under way, or the last one.
  struct attempt
  {
    routing::attempt_number number = 0;
    attempt_id id;
    chosen_upstream chosen;
    bool dispatched = false;
    upstream::call_id call;
    upstream::response_head head;
    /// Answer that goes out whole, or a stream's bytes before it was opened.
    std::string held;
  };

  void Handle(const routing::flow_event& aEvent);
  void Do(const routing::set_timer& aAction);
  void Do(const routing::request_admission& aAction);
  void Do(const routing::request_intent& aAction);
  void Do(const routing::request_upstream& aAction);
  void Do(const routing::request_retry& aAction);
  void Do(const routing::dispatch_attempt& aAction);
  void Do(const routing::cancel_attempt& aAction);
  void Do(const routing::report_attempt& aAction);
  void Do(const routing::open_stream& aAction);
  void Do(const routing::continue_stream& aAction);
  void Do(const routing::finish_stream& aAction);
  void Do(const routing::break_stream& aAction);
  void Do(const routing::deliver_answer& aAction);
  void Do(const routing::deliver_stored_answer& aAction);
  void Do(const routing::send_refusal& aAction);
  void Do(const routing::close_intent& aAction);
  void Do(const routing::end_request& aAction);

  /// Finds out whether the attempt's upstream died; a retry waits for it.
  void ProbeUpstream();
  void OnProbed(const attempt_id& aAttempt, const upstream_id& aUpstream, bool aDied);
  void DecideRetry(const routing::failed_attempt& aFailed);
  void OnLedgerAnswer(ledger_answer aAnswer);
  void OnHead(routing::attempt_number aAttempt, const upstream::response_head& aHead);
  void OnData(routing::attempt_number aAttempt, std::string_view aBytes);
  void OnDone(routing::attempt_number aAttempt, const upstream::call_outcome& aOutcome);
  void OnStreamData(std::string_view aBytes);
  /// Counts what is held of the attempt's answer. Returns false when that is too much.
  bool KeepHeld();
  /// Tells the choice of upstreams how far the stream has come, at most twice a second.
  void TellProgress();
  void Write(std::string_view aBytes);
  void OnDrain();
  /// Tells the flow that the attempt under way has ended.
  void EndAttempt(bool aWhole, const upstream::call_outcome& aOutcome);

  [[nodiscard]] upstream::call_handlers HandlersFor(routing::attempt_number aAttempt);
  [[nodiscard]] bool StreamExpected() const;
  void RecordAttempt(std::uint64_t aResumeAfter);
  void RecordQuarantine(duration aRemaining) const;
  /// Adds a decision to the record that operators can ask for.
  void Note(std::string aWhat, std::string aDetail);
  void CountOutcome(const char* aOutcome);
  [[nodiscard]] time_point Now() const;

  request_id mId;
  parsed_call mCall;
  entry::server_request mRequest;
  std::shared_ptr<entry::responder> mResponder;
  upstream::upstream_loop& mLoop;
  exchange_context& mContext;
  time_point mStartedAt;
  time_point mDeadline;
  routing::request_flow mFlow;
  attempt mAttempt;
  /// What is held of the attempt's answer, with the event that has not come whole.
  upstream::kept_bytes mKept{ mContext.answers };
  std::vector<upstream_id> mTried;
  /// The intent that the ledger granted, until it is closed.
  std::optional<ledger::dispatch_permit> mTicket;
  /// The answer of an earlier call under the same key.
  ledger::stored_response mKnown;
  sse_framer mFramer;
  time_point mNextProgress;
  /// Bytes of the stream go straight to the caller.
  bool mRelaying = false;
  bool mPaused = false;
  /// The connection of the attempt broke after the request was sent.
  bool mBroken = false;
  bool mProbing = false;
  /// A retry that waits for the probe.
  std::optional<routing::failed_attempt> mRetryAsked;
  /// The end of the attempt was told to the flow, or the flow cancelled it.
  bool mEndTold = false;
  std::optional<upstream::timer_id> mTimer;
  decision_record mRecord;
};

} // namespace persimmon::router
