#pragma once

#include "app/router/serviceshard.h"
#include "base/clock.h"
#include "base/ids.h"
#include "routing/admissionrequest.h"

#include <cstdint>
#include <memory>
#include <string>

namespace persimmon::router {

/// A caller's request that was found to be in order.
struct parsed_call
{
  std::shared_ptr<service_shard> service;
  std::shared_ptr<const versioned_document> document;
  customer_name customer;
  std::string method;
  /// Path and query for the upstream.
  std::string target;
  bool streamed = false;
  bool idempotent = true;
  /// As the caller gave it; empty when it gave none.
  idempotency_key key;
  std::uint8_t priority = routing::kDefaultPriority;
  duration deadline;
  /// Hash of the prompt's beginning; 0 for plain services.
  std::uint64_t prefix = 0;
  std::uint64_t fingerprint = 0;
};

} // namespace persimmon::router
