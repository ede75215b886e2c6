#include "ledger/ledgerlayout.h"

#include "base/hash.h"

#include <fmt/format.h>

namespace persimmon::ledger {
namespace {

constexpr std::size_t kHashLength = 32;

} // namespace

record_id
RecordOf(const idempotency_key& aKey, const service_name& aService, const customer_name& aCustomer)
{
  // Lengths keep ("ab", "c") and ("a", "bc") apart.
  const std::string text = fmt::format("{}:{}:{}:{}{}{}",
                                       aKey.value.size(),
                                       aService.value.size(),
                                       aCustomer.value.size(),
                                       aKey.value,
                                       aService.value,
                                       aCustomer.value);
  return { Sha256Hex(text).substr(0, kHashLength) };
}

std::string
ShortDigest(const std::string& aDigest)
{
  return Sha256Hex(aDigest).substr(0, kHashLength);
}

router_id
ShortRouterId(const router_id& aRouter)
{
  return aRouter.value.size() <= kMaxRouterId ? aRouter : router_id{ Sha256Hex(aRouter.value) };
}

shard_id
ShardOf(const parsed_key& aKey, const record_id& aRecord)
{
  return { SliceOf(aKey.madeAt), static_cast<std::uint32_t>(HashText(aRecord.value) % kShards) };
}

platform::object_key
ObjectOf(const shard_id& aShard)
{
  return { "ledger", fmt::format("{}-{}", aShard.slice, aShard.shard) };
}

std::int64_t
SliceOf(time_point aTime)
{
  return aTime.ms / kSliceLength.ms;
}

} // namespace persimmon::ledger
