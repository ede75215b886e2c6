#include "poison/promptpartfingerprint.h"

#include "base/hash.h"

#include <algorithm>
#include <array>

namespace persimmon::poison {
namespace {

/// Upper bits of the fingerprints of parts, which those of requests never have. So both kinds share
/// the messages and the stored object.
constexpr std::uint64_t kPartTag = 0xfa27ULL << 48U;
constexpr std::uint64_t kTagMask = 0xffffULL << 48U;
/// Lowest bit of the tag.
constexpr std::uint64_t kTagBit = 1ULL << 48U;

std::uint64_t
HashNumber(std::uint64_t aNumber, std::uint64_t aSeed)
{
  std::array<char, sizeof aNumber> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(aNumber & 0xffU);
    aNumber >>= 8U;
  }
  return HashText(std::string_view(bytes.data(), bytes.size()), aSeed);
}

} // namespace

std::vector<std::uint64_t>
PromptPartFingerprints(const service_name& aService,
                       std::string_view aModel,
                       const std::vector<prompt_part_id>& aParts)
{
  const std::uint64_t seed = HashText(aModel, HashText(aService.value));
  std::vector<std::uint64_t> fingerprints;
  fingerprints.reserve(aParts.size());
  for (const prompt_part_id& part : aParts) {
    const std::uint64_t fingerprint = (HashNumber(part.value, seed) & ~kTagMask) | kPartTag;
    if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) == fingerprints.end()) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

bool
IsPromptPart(std::uint64_t aFingerprint)
{
  return (aFingerprint & kTagMask) == kPartTag;
}

std::uint64_t
WithoutPromptPartTag(std::uint64_t aFingerprint)
{
  return IsPromptPart(aFingerprint) ? aFingerprint ^ kTagBit : aFingerprint;
}

} // namespace persimmon::poison
