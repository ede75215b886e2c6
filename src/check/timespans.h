#pragma once

#include "base/clock.h"

#include <vector>

namespace persimmon::check {

/// The time from `from` up to, but not at, `to`.
struct time_span
{
  time_point from;
  time_point to;

  bool operator==(const time_span&) const = default;
};

/// Time spans in order, without overlaps.
using time_spans = std::vector<time_span>;

/// Returns the times that are in either.
time_spans
Union(const time_spans& aLeft, const time_spans& aRight);

/// Returns the times that are in both.
time_spans
Intersection(const time_spans& aLeft, const time_spans& aRight);

/// Returns how much of the time from aFrom to aTo is outside the spans.
duration
TimeOutside(const time_spans& aSpans, time_point aFrom, time_point aTo);

} // namespace persimmon::check
