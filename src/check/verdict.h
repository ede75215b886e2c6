#pragma once

#include "check/promise.h"
#include "check/recordedevent.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::check {

/// A broken promise with the events that show it, in the order of time.
struct violation
{
  std::string what;
  std::vector<const recorded_event*> events;
};

/// What a checker found. Its events belong to the history that was checked.
struct verdict
{
  promise subject = promise::complete_history;
  /// How many times the promise was put to the test.
  std::uint64_t checked = 0;
  std::vector<violation> violations;
};

/// Adds a violation; missing events are left out and the others put in the order of time.
void
AddViolation(verdict& aVerdict, std::string aWhat, std::vector<const recorded_event*> aEvents);

} // namespace persimmon::check
