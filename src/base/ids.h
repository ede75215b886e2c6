#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace persimmon {

/// An identifier made of text; Tag keeps different kinds of identifiers apart.
template<typename Tag>
struct text_id
{
  std::string value;

  auto operator<=>(const text_id&) const = default;
  [[nodiscard]] bool Empty() const { return value.empty(); }
};

/// An identifier or counter made of a number; Tag keeps different kinds apart.
template<typename Tag>
struct number_id
{
  std::uint64_t value = 0;

  auto operator<=>(const number_id&) const = default;
  [[nodiscard]] number_id Next() const { return { value + 1 }; }
};

/// Name of a service, as its document and the callers' `model` member give it.
using service_name = text_id<struct service_name_tag>;
/// Name of a caller that a document serves.
using customer_name = text_id<struct customer_name_tag>;
/// One machine or process that the platform lists.
using instance_id = text_id<struct instance_id_tag>;
/// A set of instances that share a fast interconnect.
using domain_id = text_id<struct domain_id_tag>;
/// An availability zone.
using zone_name = text_id<struct zone_name_tag>;
/// A group of instances that together serve one replica; unique for all time.
using group_id = text_id<struct group_id_tag>;
/// One router process, from start to end.
using router_id = text_id<struct router_id_tag>;
/// One placer process, from start to end.
using placer_id = text_id<struct placer_id_tag>;
/// One caller's request, unique over all routers.
using request_id = text_id<struct request_id_tag>;
/// One dispatch of a request to an upstream.
using attempt_id = text_id<struct attempt_id_tag>;
/// The caller's Idempotency-Key.
using idempotency_key = text_id<struct idempotency_key_tag>;
/// One conditional write to the platform, named by its writer.
using write_id = text_id<struct write_id_tag>;
/// An IP number and port, `ip:port`.
using endpoint = text_id<struct endpoint_tag>;

/// The platform's counter of accepted writes; a later write has a higher one.
using revision = number_id<struct revision_tag>;
/// Counts the lives of an instance; it changes whenever the instance restarts.
using incarnation = number_id<struct incarnation_tag>;
/// Counts the changes of a group's membership or model.
using generation = number_id<struct generation_tag>;
/// Grows with each change of a domain's owner; engines refuse orders with a lower one.
using fencing_token = number_id<struct fencing_token_tag>;

} // namespace persimmon

template<typename Tag>
struct std::hash<persimmon::text_id<Tag>>
{
  std::size_t operator()(const persimmon::text_id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.value);
  }
};

template<typename Tag>
struct std::hash<persimmon::number_id<Tag>>
{
  std::size_t operator()(const persimmon::number_id<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.value);
  }
};
