#pragma once

namespace persimmon::bench {

/// Prints the calls that many processes make to the platform through an outage.
void
PrintHerd();

} // namespace persimmon::bench
