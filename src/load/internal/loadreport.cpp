#include "load/loadreport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace persimmon::load {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMedian = 0.5;
constexpr double kMost = 0.95;
constexpr double kNearlyAll = 0.99;

double
PerSecond(std::uint64_t aCount, duration aLength)
{
  return aLength.ms > 0
           ? static_cast<double>(aCount) * kMsPerSecond / static_cast<double>(aLength.ms)
           : 0;
}

std::string
SpanLine(const char* aName, const span_counts& aSpans)
{
  return fmt::format("{:<15} p50 {} ms, p95 {} ms, p99 {} ms, longest {} ms ({} measured)\n",
                     aName,
                     aSpans.Quantile(kMedian).ms,
                     aSpans.Quantile(kMost).ms,
                     aSpans.Quantile(kNearlyAll).ms,
                     aSpans.Quantile(1).ms,
                     aSpans.Count());
}

nlohmann::json
SpanObject(const span_counts& aSpans)
{
  return { { "count", aSpans.Count() },
           { "p50", aSpans.Quantile(kMedian).ms },
           { "p95", aSpans.Quantile(kMost).ms },
           { "p99", aSpans.Quantile(kNearlyAll).ms },
           { "longest", aSpans.Quantile(1).ms } };
}

} // namespace

std::string
RenderTextReport(const load_statistics& aStatistics, duration aLength)
{
  std::string text =
    fmt::format("calls           {} planned, {} answered, {} refused, {} resends\n",
                aStatistics.sent,
                aStatistics.answered,
                aStatistics.refused,
                aStatistics.resends);
  text += fmt::format("throughput      {:.1f} answers/s, {:.1f} tokens/s\n",
                      PerSecond(aStatistics.answered, aLength),
                      PerSecond(aStatistics.tokens, aLength));
  text += SpanLine("first token", aStatistics.firstToken);
  text += SpanLine("between tokens", aStatistics.betweenTokens);
  text += SpanLine("whole answer", aStatistics.whole);
  for (const auto& [name, count] : aStatistics.refusals) {
    text += fmt::format("refused         {}: {}\n", name, count);
  }
  return text;
}

std::string
RenderJsonReport(const load_statistics& aStatistics, duration aLength)
{
  const nlohmann::json report = {
    { "seconds", static_cast<double>(aLength.ms) / kMsPerSecond },
    { "planned", aStatistics.sent },
    { "answered", aStatistics.answered },
    { "refused", aStatistics.refused },
    { "resends", aStatistics.resends },
    { "answers_per_second", PerSecond(aStatistics.answered, aLength) },
    { "tokens_per_second", PerSecond(aStatistics.tokens, aLength) },
    { "first_token_ms", SpanObject(aStatistics.firstToken) },
    { "between_tokens_ms", SpanObject(aStatistics.betweenTokens) },
    { "whole_answer_ms", SpanObject(aStatistics.whole) },
    { "refusals", aStatistics.refusals },
  };
  return report.dump(2) + "\n";
}

std::string
RenderProgress(const load_statistics& aStatistics, duration aSinceStart)
{
  const std::uint64_t ended = aStatistics.answered + aStatistics.refused;
  return fmt::format("{} s: {} planned, {} answered, {} refused, {} open, whole answer p99 {} ms",
                     aSinceStart.ms / static_cast<std::int64_t>(kMsPerSecond),
                     aStatistics.sent,
                     aStatistics.answered,
                     aStatistics.refused,
                     aStatistics.sent - ended,
                     aStatistics.whole.Quantile(kNearlyAll).ms);
}

} // namespace persimmon::load
