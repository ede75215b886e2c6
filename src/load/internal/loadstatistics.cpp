#include "load/loadstatistics.h"

#include <algorithm>
#include <cmath>

namespace persimmon::load {
namespace {

constexpr std::int64_t kLongestSpanMs = 300000;
constexpr std::int64_t kMsPerSecond = 1000;

} // namespace

void
span_counts::Add(duration aSpan)
{
  const std::int64_t bounded = std::clamp<std::int64_t>(aSpan.ms, 0, kLongestSpanMs);
  const auto index = static_cast<std::size_t>(bounded);
  if (index >= mCounts.size()) {
    mCounts.resize(index + 1);
  }
  ++mCounts[index];
  ++mCount;
}

void
span_counts::Merge(const span_counts& aOther)
{
  mCounts.resize(std::max(mCounts.size(), aOther.mCounts.size()));
  for (std::size_t index = 0; index < aOther.mCounts.size(); ++index) {
    mCounts[index] += aOther.mCounts[index];
  }
  mCount += aOther.mCount;
}

duration
span_counts::Quantile(double aShare) const
{
  const auto wanted = static_cast<std::uint64_t>(std::ceil(aShare * static_cast<double>(mCount)));
  std::uint64_t seen = 0;
  for (std::size_t index = 0; index < mCounts.size(); ++index) {
    seen += mCounts[index];
    if (seen >= wanted && seen > 0) {
      return { static_cast<std::int64_t>(index) };
    }
  }
  return {};
}

void
load_statistics::Add(const call_result& aResult)
{
  resends += aResult.resends;
  tokens += aResult.tokens;
  const std::int64_t second = aResult.after.ms / kMsPerSecond;
  if (aResult.firstToken) {
    firstToken.Add(*aResult.firstToken);
    firstTokenBySecond[second].Add(*aResult.firstToken);
  }
  if (!aResult.answered) {
    ++refused;
    ++refusals[aResult.refusal];
    return;
  }
  ++answered;
  whole.Add(aResult.whole);
  wholeBySecond[second].Add(aResult.whole);
}

void
load_statistics::Merge(const load_statistics& aOther)
{
  sent += aOther.sent;
  answered += aOther.answered;
  refused += aOther.refused;
  resends += aOther.resends;
  tokens += aOther.tokens;
  for (const auto& [name, count] : aOther.refusals) {
    refusals[name] += count;
  }
  firstToken.Merge(aOther.firstToken);
  betweenTokens.Merge(aOther.betweenTokens);
  whole.Merge(aOther.whole);
  for (const auto& [second, spans] : aOther.wholeBySecond) {
    wholeBySecond[second].Merge(spans);
  }
  for (const auto& [second, spans] : aOther.firstTokenBySecond) {
    firstTokenBySecond[second].Merge(spans);
  }
}

} // namespace persimmon::load
