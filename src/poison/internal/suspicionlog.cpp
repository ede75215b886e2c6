#include "poison/suspicionlog.h"

#include "base/log.h"
#include "poison/poisonevents.h"
#include "poison/promptpartfingerprint.h"
#include "poison/suspiciontable.h"

#include <fmt/format.h>

namespace persimmon::poison {

std::string
FingerprintText(std::uint64_t aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint);
}

const char*
SubjectName(std::uint64_t aFingerprint)
{
  return IsPromptPart(aFingerprint) ? "prompt_part" : "request";
}

void
LogChanges(const suspicion_changes& aChanges)
{
  for (const peers::crash_message& crash : aChanges.crashes) {
    WriteLog(crash.withdrawn ? kSuspectCleared : kRequestSuspected,
             { { "subject", SubjectName(crash.fingerprint) },
               { "fingerprint", FingerprintText(crash.fingerprint) },
               { "crash", FingerprintText(crash.crash) },
               { "weight", std::to_string(crash.weight) },
               { "other_cause", crash.isolates ? "false" : "true" } });
  }
  for (const peers::quarantine_message& quarantine : aChanges.quarantines) {
    WriteLog(quarantine.lifted ? kSuspectCleared : kRequestQuarantined,
             { { "subject", SubjectName(quarantine.fingerprint) },
               { "fingerprint", FingerprintText(quarantine.fingerprint) },
               { "quarantines", std::to_string(quarantine.count) },
               { "lifetime_ms", std::to_string(QuarantineLifetime(quarantine.count).ms) } });
  }
}

} // namespace persimmon::poison
