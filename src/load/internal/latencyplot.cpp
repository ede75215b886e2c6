#include "load/loadreport.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace persimmon::load {
namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 420;
constexpr double kMargin = 60;
constexpr double kMsPerSecond = 1000;
constexpr double kDecade = 10;

/// Maps seconds and milliseconds to places in the picture; milliseconds are logarithmic.
struct plot_scale
{
  double seconds = 1;
  double decades = 1;

  [[nodiscard]] double X(double aSecond) const
  {
    return kMargin + aSecond / seconds * (kWidth - 2 * kMargin);
  }
  [[nodiscard]] double Y(double aMs) const
  {
    const double decade = std::log10(std::max(aMs, 1.0));
    return kHeight - kMargin - decade / decades * (kHeight - 2 * kMargin);
  }
};

using spans_by_second = std::map<std::int64_t, span_counts>;

double
Longest(const spans_by_second& aSpans)
{
  double longest = kDecade;
  for (const auto& [second, spans] : aSpans) {
    longest = std::max(longest, static_cast<double>(spans.Quantile(1).ms));
  }
  return longest;
}

std::string
Grid(const plot_scale& aScale)
{
  std::string svg;
  for (double decade = 0; decade <= aScale.decades; ++decade) {
    const double ms = std::pow(kDecade, decade);
    const double y = aScale.Y(ms);
    svg += fmt::format("<line x1='{}' y1='{:.1f}' x2='{}' y2='{:.1f}' stroke='#ddd'/>"
                       "<text x='8' y='{:.1f}'>{:.0f} ms</text>\n",
                       kMargin,
                       y,
                       kWidth - kMargin,
                       y,
                       y + 4,
                       ms);
  }
  svg += fmt::format("<text x='{}' y='{}'>0 s</text><text x='{}' y='{}'>{:.0f} s</text>\n",
                     kMargin,
                     kHeight - kMargin / 2,
                     kWidth - kMargin,
                     kHeight - kMargin / 2,
                     aScale.seconds);
  return svg;
}

struct curve
{
  const char* name;
  const char* colour;
  const spans_by_second* spans;
  double share;
};

std::string
Line(const curve& aCurve, const plot_scale& aScale)
{
  std::string points;
  for (const auto& [second, spans] : *aCurve.spans) {
    points += fmt::format("{:.1f},{:.1f} ",
                          aScale.X(static_cast<double>(second)),
                          aScale.Y(static_cast<double>(spans.Quantile(aCurve.share).ms)));
  }
  return fmt::format(
    "<polyline fill='none' stroke-width='1.5' stroke='{}' points='{}'/>\n", aCurve.colour, points);
}

} // namespace

std::string
RenderLatencyPlot(const load_statistics& aStatistics, duration aLength)
{
  const curve curves[] = {
    { "first token p50", "#7fb3e6", &aStatistics.firstTokenBySecond, 0.5 },
    { "first token p99", "#1f5fa8", &aStatistics.firstTokenBySecond, 0.99 },
    { "whole answer p50", "#f0b27a", &aStatistics.wholeBySecond, 0.5 },
    { "whole answer p99", "#b9501c", &aStatistics.wholeBySecond, 0.99 },
  };
  const double longest =
    std::max(Longest(aStatistics.firstTokenBySecond), Longest(aStatistics.wholeBySecond));
  plot_scale scale;
  scale.seconds = std::max(1.0, static_cast<double>(aLength.ms) / kMsPerSecond);
  scale.decades = std::ceil(std::log10(longest));
  std::string svg = fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
                                "font-family='sans-serif' font-size='12'>\n"
                                "<rect width='100%' height='100%' fill='white'/>\n",
                                kWidth,
                                kHeight);
  svg += Grid(scale);
  double legend = kMargin;
  for (const curve& entry : curves) {
    svg += Line(entry, scale);
    svg +=
      fmt::format("<text x='{}' y='20' fill='{}'>{}</text>\n", legend, entry.colour, entry.name);
    legend += (kWidth - 2 * kMargin) / 4;
  }
  return svg + "</svg>\n";
}

} // namespace persimmon::load
