#include "ledger/ledgerlayout.h"

#include "base/hash.h"

#include <fmt/format.h>

namespace persimmon::ledger {
namespace {

constexpr std::size_t kHashHexDigits = 32;

} // namespace

record_id
MakeRecordId(const idempotency_key& aKey,
             const service_name& aService,
             const customer_name& aCustomer)
{
  // The lengths distinguish ("ab", "c") from ("a", "bc").
  const std::string text = fmt::format("{}:{}:{}:{}{}{}",
                                       aKey.value.size(),
                                       aService.value.size(),
                                       aCustomer.value.size(),
                                       aKey.value,
                                       aService.value,
                                       aCustomer.value);
  return { Sha256Hex(text).substr(0, kHashHexDigits) };
}

std::string
HashDigest(const std::string& aDigest)
{
  return Sha256Hex(aDigest).substr(0, kHashHexDigits);
}

router_id
BoundedRouterId(const router_id& aRouter)
{
  return aRouter.value.size() <= kMaxRouterIdBytes ? aRouter
                                                   : router_id{ Sha256Hex(aRouter.value) };
}

shard_id
ShardForKey(const parsed_key& aKey, const record_id& aRecord)
{
  return { SliceAt(aKey.createdAt),
           static_cast<std::uint32_t>(HashText(aRecord.value) % kShardsPerSlice) };
}

platform::object_key
ShardObjectKey(const shard_id& aShard)
{
  return { "ledger", fmt::format("{}-{}", aShard.slice, aShard.shard) };
}

std::int64_t
SliceAt(time_point aTime)
{
  return aTime.ms / kSliceDuration.ms;
}

} // namespace persimmon::ledger
