#include "relay/relaycredentials.h"

#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string_view>

namespace persimmon::relay {
namespace {

/// Separates this use of the key from others.
constexpr std::string_view kPurpose = "persimmon relay";

} // namespace

std::string
RelayCredentials(const std::string& aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(kPurpose.data()),
       kPurpose.size(),
       digest.data(),
       &length);
  std::string credentials = "Bearer ";
  for (unsigned int i = 0; i < length; ++i) {
    credentials += fmt::format("{:02x}", digest[i]);
  }
  return credentials;
}

} // namespace persimmon::relay
