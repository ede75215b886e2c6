#pragma once

#include "poison/suspicionchanges.h"

#include <string>

namespace persimmon::poison {

/// Returns a fingerprint as logs and the store have it: 16 hexadecimal digits.
std::string
FingerprintText(std::uint64_t aFingerprint);

/// Returns what a fingerprint identifies, as logs have it: `request` or `prompt_part`.
const char*
SubjectName(std::uint64_t aFingerprint);

/// Writes a log line for each change.
void
LogChanges(const suspicion_changes& aChanges);

} // namespace persimmon::poison
