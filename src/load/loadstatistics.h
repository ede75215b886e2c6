#pragma once

#include "load/callresult.h"

#include <map>
#include <vector>

namespace persimmon::load {

/// Counts spans, exact to the millisecond up to a bound.
class span_counts
{
public:
  void Add(duration aSpan);
  void Merge(const span_counts& aOther);
  [[nodiscard]] std::uint64_t Count() const { return mCount; }
  /// Returns the least span that the given share of the spans do not exceed; 0 when empty.
  [[nodiscard]] duration Quantile(double aShare) const;

private:
  std::vector<std::uint64_t> mCounts;
  std::uint64_t mCount = 0;
};

/// What one worker, or all together, saw so far.
struct load_statistics
{
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t resends = 0;
  std::uint64_t tokens = 0;
  std::map<std::string, std::uint64_t> refusals;
  span_counts firstToken;
  span_counts betweenTokens;
  span_counts whole;
  /// Spans of whole answers by the second for which their calls were planned.
  std::map<std::int64_t, span_counts> wholeBySecond;
  /// First tokens likewise.
  std::map<std::int64_t, span_counts> firstTokenBySecond;

  void Add(const call_result& aResult);
  void Merge(const load_statistics& aOther);
};

} // namespace persimmon::load
