#pragma once

#include "settings/settings.h"
#include "standins/common/fleet.h"

namespace persimmon::standins {

/// Declares the settings that all programs with many instances have.
void
DeclareFleetFlags(settings& aSettings);

/// Reads them, all but the members that depend on the kind of instances.
fleet_settings
ReadFleetFlags(settings& aSettings);

} // namespace persimmon::standins
