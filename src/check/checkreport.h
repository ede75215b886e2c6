#pragma once

#include "check/verdict.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmon::check {

/// How often each promise must have been put to the test; a promise that is not named, once.
using required_counts = std::map<promise, std::uint64_t>;

/// Returns whether every promise held and was tested often enough.
bool
IsProven(const std::vector<verdict>& aVerdicts, const required_counts& aRequired);

/// Returns one line for each promise and, for each violation, its events with file and line.
std::string
RenderVerdicts(const std::vector<verdict>& aVerdicts, const required_counts& aRequired);

} // namespace persimmon::check
