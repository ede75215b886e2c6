#pragma once

#include "check/recordedevent.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon::check {

/// Appends the events of one file. A last line without a line feed is taken when it is whole and
/// passed over when it is not, as a killed process leaves it. Returns false with aProblem naming
/// file, line and fault when any other line cannot be read.
bool
ReadHistory(std::string_view aText,
            const std::string& aFile,
            std::vector<recorded_event>& aEvents,
            std::string& aProblem);

/// Orders events of several files by time; those of one file keep their order.
void
SortByTime(std::vector<recorded_event>& aEvents);

} // namespace persimmon::check
