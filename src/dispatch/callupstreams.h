#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/selectionrequest.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// Upstreams to which one call was sent, where it is in flight, and where it may be sent next. An
/// upstream that was lost is never asked again; one that accepted no connection or refused the call
/// may be asked again a little later, and one whose attempt was superseded at once. Does no I/O and
/// reads no clock.
class call_upstreams
{
public:
  /// The call may be sent to aMaxUpstreams upstreams.
  explicit call_upstreams(std::size_t aMaxUpstreams)
    : mMaxUpstreams(aMaxUpstreams)
  {
  }

  /// Records that the call is sent to an upstream. aPermitAt is the time at which a permit of the
  /// retry budget was acquired for it; empty when none was.
  void RecordSend(const instance_id& aUpstream, std::optional<time_point> aPermitAt);
  /// Undoes a send that was not carried out. Returns the time of the permit that it had acquired.
  std::optional<time_point> UndoSend(const instance_id& aUpstream);
  /// Records that the call is no longer in flight at an upstream.
  void Release(const instance_id& aUpstream);
  /// Keeps the call away from an upstream for a short time.
  void Avoid(const instance_id& aUpstream, time_point aNow);
  /// Keeps the call away from an upstream for good.
  void Exclude(const instance_id& aUpstream);

  /// Restricts a request to the upstreams to which the call may be sent.
  void Restrict(selection_request& aRequest, time_point aNow) const;
  /// Returns whether the call may be sent to no upstream that it was not sent to before.
  [[nodiscard]] bool MayAskNoOther() const { return mAsked.size() >= mMaxUpstreams; }
  /// Returns whether the call may be sent to no upstream at all any more.
  [[nodiscard]] bool IsExhausted() const;
  [[nodiscard]] std::size_t InFlightCount() const { return mInFlight.size(); }
  /// Returns the upstream that the call was sent to last, of those at which it is in flight.
  [[nodiscard]] const instance_id& LatestInFlight() const { return mInFlight.back().upstream; }
  /// Returns how often the call was sent, without what UndoSend() has undone.
  [[nodiscard]] std::uint32_t SendCount() const { return mSendCount; }

private:
  struct send
  {
    instance_id upstream;
    std::optional<time_point> permitAt;
    /// The call was not sent to the upstream before.
    bool isFirst = false;
  };
  struct avoided_upstream
  {
    instance_id upstream;
    time_point until;
  };

  std::size_t mMaxUpstreams;
  /// Upstreams that the call was sent to.
  std::vector<instance_id> mAsked;
  /// In the order in which the call was sent.
  std::vector<send> mInFlight;
  std::vector<avoided_upstream> mAvoided;
  std::vector<instance_id> mExcluded;
  std::uint32_t mSendCount = 0;
};

} // namespace persimmon::dispatch
