#include "check/timespans.h"

#include <algorithm>

namespace persimmon::check {

time_spans
Union(const time_spans& aLeft, const time_spans& aRight)
{
  time_spans all = aLeft;
  all.insert(all.end(), aRight.begin(), aRight.end());
  std::sort(all.begin(), all.end(), [](const time_span& aOne, const time_span& aOther) {
    return aOne.from < aOther.from;
  });
  time_spans merged;
  for (const time_span& span : all) {
    if (!merged.empty() && span.from <= merged.back().to) {
      merged.back().to = std::max(merged.back().to, span.to);
    } else {
      merged.push_back(span);
    }
  }
  return merged;
}

time_spans
Intersection(const time_spans& aLeft, const time_spans& aRight)
{
  time_spans common;
  for (const time_span& left : aLeft) {
    for (const time_span& right : aRight) {
      const time_span both{ std::max(left.from, right.from), std::min(left.to, right.to) };
      if (both.from < both.to) {
        common.push_back(both);
      }
    }
  }
  return Union(common, {});
}

duration
TimeOutside(const time_spans& aSpans, time_point aFrom, time_point aTo)
{
  duration outside = std::max(duration{}, aTo - aFrom);
  for (const time_span& common : Intersection(aSpans, { { aFrom, aTo } })) {
    outside = outside - (common.to - common.from);
  }
  return outside;
}

} // namespace persimmon::check
