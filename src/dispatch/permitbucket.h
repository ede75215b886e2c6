#pragma once

#include "base/clock.h"

#include <optional>

namespace persimmon::dispatch {

/// Share of one router in the rate limit of an upstream.
struct rate_limit_share
{
  /// Permits per second; 0 when the router has no share.
  double permitsPerSecond = 0;
  /// Most permits that can accumulate while none is used.
  double maxPermits = 0;
};

/// Token bucket: permits accumulate at a constant rate up to a maximum, and each call takes one.
/// Does no I/O and reads no clock.
class permit_bucket
{
public:
  /// Replaces the share. A bucket that had no share starts without permits, so that a share that
  /// passes between routers does not bring its permits twice.
  void SetShare(const rate_limit_share& aShare, time_point aNow);
  [[nodiscard]] const rate_limit_share& Share() const { return mShare; }
  /// Returns whether a permit is available.
  [[nodiscard]] bool HasPermit(time_point aNow) const;
  /// Returns the time until a permit is available; empty without a share.
  [[nodiscard]] std::optional<duration> TimeToNextPermit(time_point aNow) const;
  /// Takes one permit, also when none is available; then the next ones are withheld.
  void Take(time_point aNow);

private:
  [[nodiscard]] double Permits(time_point aNow) const;

  rate_limit_share mShare;
  /// Permits as of mUpdatedAt.
  double mPermits = 0;
  time_point mUpdatedAt;
};

} // namespace persimmon::dispatch
