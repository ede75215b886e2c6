#include "poison/requestfingerprint.h"

#include "base/hash.h"
#include "poison/promptpartfingerprint.h"

namespace persimmon::poison {

std::uint64_t
RequestFingerprint(const request_identity& aIdentity)
{
  std::uint64_t hash = HashText(aIdentity.service);
  for (const std::string_view part :
       { aIdentity.customer, aIdentity.method, aIdentity.target, aIdentity.body }) {
    hash = HashText(part, hash);
  }
  return WithoutPromptPartTag(hash);
}

} // namespace persimmon::poison
