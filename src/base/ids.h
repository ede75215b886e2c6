#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace persimmon {

/// A string identifier; Tag makes different kinds of identifiers different types.
template<typename Tag>
struct text_id
{
  std::string value;

  auto operator<=>(const text_id&) const = default;
  [[nodiscard]] bool Empty() const { return value.empty(); }
};

/// A numeric identifier or counter; Tag makes different kinds different types.
template<typename Tag>
struct number_id
{
  std::uint64_t value = 0;

  auto operator<=>(const number_id&) const = default;
  [[nodiscard]] number_id Next() const { return { value + 1 }; }
};

/// Name of a service, as given in its document and in the `model` member of requests.
using service_name = text_id<struct service_name_tag>;
/// Name of a customer, as given in a service document.
using customer_name = text_id<struct customer_name_tag>;
/// Identifies an instance: a machine or process in the platform's instance list.
using instance_id = text_id<struct instance_id_tag>;
/// Identifies a fabric domain: a set of instances that share a fast interconnect.
using domain_id = text_id<struct domain_id_tag>;
/// Name of an availability zone.
using zone_name = text_id<struct zone_name_tag>;
/// Identifies a group of instances that together serve one replica; never reused.
using group_id = text_id<struct group_id_tag>;
/// Identifies what runs a request: a group or, for plain services, an instance.
using upstream_id = text_id<struct upstream_id_tag>;
/// Identifies one run of a router process; a restarted router has a new value.
using router_id = text_id<struct router_id_tag>;
/// Identifies one run of a placer process; a restarted placer has a new value.
using placer_id = text_id<struct placer_id_tag>;
/// Identifies a caller's request; unique across all routers.
using request_id = text_id<struct request_id_tag>;
/// Identifies one attempt: the dispatch of a request to an upstream.
using attempt_id = text_id<struct attempt_id_tag>;
/// Value of a request's Idempotency-Key header.
using idempotency_key = text_id<struct idempotency_key_tag>;
/// Identifies one conditional write to the platform; chosen by the writer.
using write_id = text_id<struct write_id_tag>;
/// An IP address and port, `ip:port`.
using endpoint = text_id<struct endpoint_tag>;

/// Identifies a part of a prompt that several requests may share, such as a system prompt.
using prompt_part_id = number_id<struct prompt_part_id_tag>;

/// The platform's counter of accepted writes; a later write has a higher value.
using revision = number_id<struct revision_tag>;
/// Distinguishes the runs of an instance; changes whenever the instance restarts.
using incarnation = number_id<struct incarnation_tag>;
/// Counts the changes of a group's members or model.
using generation = number_id<struct generation_tag>;
/// Increases whenever a domain gets a new owner; engines reject orders with a lower token than the
/// highest seen.
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
