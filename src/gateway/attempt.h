#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/faultevidence.h"
#include "gateway/crashmonitor.h"
#include "gateway/eventframer.h"
#include "gateway/responseinfo.h"
#include "gateway/sentgroup.h"
#include "upstream/bodybudget.h"
#include "upstream/callid.h"
#include "upstream/responsehead.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace persimmon::gateway {

/// One call to one upstream on behalf of an exchange.
struct attempt
{
  /// Without a budget, what it keeps of its response is not bounded.
  explicit attempt(std::shared_ptr<upstream::body_budget> aBudget = nullptr)
    : kept(std::move(aBudget))
  {
  }

  /// Number of the attempt within its exchange, never given again.
  std::uint64_t number = 0;
  instance_id upstream;
  endpoint address;
  /// Incarnation of the upstream to which the call was sent.
  incarnation incarnationId;
  /// The group that its upstream headed when the call was sent; nothing at a plain service.
  std::optional<sent_group> group;
  upstream::call_id call;
  monitored_attempt monitored;
  /// True when the upstream's group was found silent and nothing has arrived since.
  bool isStalled = false;
  /// Time for which this process has watched the attempt: without the time in which it was
  /// suspended itself.
  duration watchedFor;
  time_point watchedAt;
  /// True when the crash monitor finds out whether the upstream has crashed.
  bool lossReported = false;
  time_point startedAt;
  /// Time of the latest response head, body data or complete stream event; the start time before
  /// any.
  time_point lastReceivedAt;
  /// Nothing until the response head has arrived.
  std::optional<response_info> responseInfo;
  upstream::response_head responseHead;
  /// Body received so far of a response that is not streamed.
  std::string responseBody;
  event_framer framer;
  /// The body, or the incomplete event of a stream.
  upstream::kept_bytes kept;
  /// True once a complete event of a stream has arrived from this upstream.
  bool hasReceivedEvent = false;
  /// Prompt tokens that still count as pending at the upstream; zero after its first event.
  std::uint64_t pendingPromptTokens = 0;
  /// Why the call could not be sent or broke off; empty when it did not.
  std::string failureDetail;
  /// Longest time between two reads that completed events.
  duration longestEventGap;

  /// Records that a part of the response has arrived.
  void OnReceived(time_point aNow)
  {
    lastReceivedAt = aNow;
    isStalled = false;
  }
  /// Records what speaks against the attempt's group, nothing when nothing does. A mark that
  /// vanishes with its group is not lifted: the attempt stays stalled until something arrives.
  void RecordEvidence(std::optional<fleet::fault_evidence> aEvidence, bool aIsGroupRegistered)
  {
    isStalled = aEvidence.has_value() || (isStalled && !aIsGroupRegistered);
  }
  /// Returns true when the call should be sent to a second upstream as well. One that resumes after
  /// the last id would repeat events without ids.
  [[nodiscard]] bool NeedsSecond() const { return isStalled && framer.IsResumable(); }
  /// Returns true when the stream may go on with this attempt although another one has begun it.
  [[nodiscard]] bool MayGoOnWithStream() const { return !responseInfo; }
  /// Records that this process runs; called at each tick.
  void Watch(time_point aNow)
  {
    watchedFor = watchedFor + std::min(aNow - watchedAt, kMaxTick);
    watchedAt = aNow;
  }

  /// Longest time between two ticks of a process that runs.
  static constexpr duration kMaxTick = 200_ms;
};

} // namespace persimmon::gateway
