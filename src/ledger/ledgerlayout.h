#pragma once

#include "base/ids.h"
#include "ledger/idempotencykey.h"
#include "platform/storedobject.h"

#include <cstddef>
#include <cstdint>

namespace persimmon::ledger {

/// Span of key times that share one slice. All routers must agree on it and on kShardsPerSlice: the
/// same key must always meet the same object.
constexpr duration kSliceDuration = 4_s;
/// Objects per slice.
constexpr std::uint32_t kShardsPerSlice = 8;
/// Greatest age of a key that is accepted.
constexpr duration kMaxKeyAge = 7200_s;
/// How far a key's time may lie ahead of a router's clock.
constexpr duration kMaxClockSkew = 60_s;
/// Records in one object; a new key is refused when its object is full.
constexpr std::size_t kMaxRecordsPerShard = 3000;
/// Size of an object above which answers are no longer kept in it, in bytes.
constexpr std::size_t kMaxStoredResponseBytes = 192UL * 1024;
/// Greatest body of an answer that is kept, in bytes.
constexpr std::size_t kMaxStoredBodyBytes = 1024;
/// Greatest content type of an answer that is kept, in bytes.
constexpr std::size_t kMaxStoredContentTypeBytes = 100;
/// Greatest router id, in bytes.
constexpr std::size_t kMaxRouterIdBytes = 64;

/// Identifies a key within its service and customer.
using record_id = text_id<struct record_id_tag>;

/// Names the object that holds a key's record.
struct shard_id
{
  /// Number of the slice since the Unix epoch.
  std::int64_t slice = 0;
  std::uint32_t shard = 0;

  auto operator<=>(const shard_id&) const = default;
};

/// Returns the identity of a key; the same key of another service or customer gives another one.
record_id
MakeRecordId(const idempotency_key& aKey,
             const service_name& aService,
             const customer_name& aCustomer);

/// Returns a hash of bounded length of a body's digest.
std::string
HashDigest(const std::string& aDigest);

/// Returns a router id, or a hash of one that is too long for a record.
router_id
BoundedRouterId(const router_id& aRouter);

/// Returns the object of a record; it depends on the key alone, never on a clock.
shard_id
ShardForKey(const parsed_key& aKey, const record_id& aRecord);

/// Returns the platform's name of a shard object.
platform::object_key
ShardObjectKey(const shard_id& aShard);

/// Returns the slice of a Unix time.
std::int64_t
SliceAt(time_point aTime);

} // namespace persimmon::ledger
