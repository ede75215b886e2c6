#include "base/hash.h"

#include <array>
#include <fmt/format.h>
#include <openssl/sha.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace persimmon {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  return HashText(aCandidate, HashText(aKey));
}

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  return fmt::format("{:02x}", fmt::join(digest, ""));
}

} // namespace persimmon
