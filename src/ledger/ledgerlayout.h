#pragma once

#include "base/ids.h"
#include "ledger/idempotencykey.h"
#include "platform/storedobject.h"

#include <cstddef>
#include <cstdint>

namespace persimmon::ledger {

/// Length of a slice: keys whose timestamps fall into the same interval share a slice. All routers
/// must use the same value, and the same kShardsPerSlice, so that a key always maps to the same
/// object.
constexpr duration kSliceDuration = 4_s;
/// Shard objects per slice.
constexpr std::uint32_t kShardsPerSlice = 8;
/// Maximum age of an accepted key.
constexpr duration kMaxKeyAge = 7200_s;
/// Maximum time by which a key's timestamp may be ahead of a router's wall clock.
constexpr duration kMaxClockSkew = 60_s;
/// Maximum number of records in a shard object; a new key is refused when its object is full.
constexpr std::size_t kMaxRecordsPerShard = 3000;
/// Maximum total size of the responses stored in a shard object, in bytes of JSON.
constexpr std::size_t kMaxStoredResponseBytes = 192UL * 1024;
/// Maximum body size of a stored response, in bytes.
constexpr std::size_t kMaxStoredBodyBytes = 1024;
/// Maximum size of the content type of a stored response, in bytes.
constexpr std::size_t kMaxStoredContentTypeBytes = 100;
/// Maximum size of a router id in a record, in bytes.
constexpr std::size_t kMaxRouterIdBytes = 64;

/// Identifies the record of a key within its service and customer.
using record_id = text_id<struct record_id_tag>;

/// Identifies the shard object that holds a key's record.
struct shard_id
{
  /// Number of the slice since the Unix epoch.
  std::int64_t slice = 0;
  std::uint32_t shard = 0;

  auto operator<=>(const shard_id&) const = default;
};

/// Returns the record id of a key; the same key of another service or customer has another id.
record_id
MakeRecordId(const idempotency_key& aKey,
             const service_name& aService,
             const customer_name& aCustomer);

/// Returns a hash of a body's digest, shortened to the length that records use.
std::string
HashDigest(const std::string& aDigest);

/// Returns the router id, or its hash when it is longer than kMaxRouterIdBytes.
router_id
BoundedRouterId(const router_id& aRouter);

/// Returns the shard that holds a record. It depends on the key alone, never on a clock.
shard_id
ShardForKey(const parsed_key& aKey, const record_id& aRecord);

/// Returns the object key of a shard in the platform's store.
platform::object_key
ShardObjectKey(const shard_id& aShard);

/// Returns the number of the slice that contains a Unix time.
std::int64_t
SliceAt(time_point aTime);

} // namespace persimmon::ledger
