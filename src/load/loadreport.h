#pragma once

#include "load/loadstatistics.h"

#include <string>

namespace persimmon::load {

/// Returns the report as text for people; aLength is how long calls were planned.
std::string
RenderTextReport(const load_statistics& aStatistics, duration aLength);

/// Returns the report as JSON; spans are in milliseconds.
std::string
RenderJsonReport(const load_statistics& aStatistics, duration aLength);

/// Returns the line that is printed while the load runs.
std::string
RenderProgress(const load_statistics& aStatistics, duration aSinceStart);

/// Returns an SVG of the median and 99th percentile of first tokens and whole answers over time.
std::string
RenderLatencyPlot(const load_statistics& aStatistics, duration aLength);

} // namespace persimmon::load
