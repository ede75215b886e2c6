#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace persimmon::poison {

/// Returns the fingerprints of parts of a prompt, in their order and without repetitions. They
/// depend on the service and the model: what crashes one model need not crash another.
std::vector<std::uint64_t>
PromptPartFingerprints(const service_name& aService,
                       std::string_view aModel,
                       const std::vector<prompt_part_id>& aParts);

/// Returns whether a fingerprint is that of a part of a prompt; otherwise, it is that of a request.
bool
IsPromptPart(std::uint64_t aFingerprint);

/// Returns a fingerprint that is not that of a part of a prompt, the same one if it was none.
std::uint64_t
WithoutPromptPartTag(std::uint64_t aFingerprint);

} // namespace persimmon::poison
