#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmon::peers {

/// A service document that the platform accepted.
struct document_message
{
  service_name service;
  revision version;
  /// The document as JSON; empty for a deleted object, whose service counts as retired.
  std::string text;

  bool operator==(const document_message&) const = default;
};

/// A domain table that the platform accepted.
struct table_message
{
  domain_id domain;
  revision version;
  /// The table's content.
  std::string text;

  bool operator==(const table_message&) const = default;
};

/// Value of presence_message::slowestMemberPercent for a group that is as fast as expected.
constexpr std::uint32_t kExpectedMemberPercent = 100;

/// Result of an observer's poll of the head of a group.
struct presence_message
{
  group_id group;
  generation version;
  router_id observer;
  /// Time from the observation until the message was sent. The receiver subtracts it from its own
  /// clock's time.
  duration age;
  /// True if the head responded and every member was present in the expected incarnation and
  /// generation.
  bool complete = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /// Processing time of the slowest member in percent of the expected time.
  std::uint32_t slowestMemberPercent = kExpectedMemberPercent;

  bool operator==(const presence_message&) const = default;
};

/// An instance that must not receive new work in this incarnation.
struct leaving_message
{
  instance_id instance;
  incarnation incarnationId;

  bool operator==(const leaving_message&) const = default;
};

/// A request that was in flight when an upstream died and may have caused it.
struct suspect_request_message
{
  /// Hash of the request's service, customer and body.
  std::uint64_t fingerprint = 0;
  /// Deaths of upstreams with this request in flight, alone or with other requests.
  std::uint32_t deaths = 0;
  bool quarantined = false;
  duration age;

  bool operator==(const suspect_request_message&) const = default;
};

/// Requests of a customer for a service that run or wait at one router: its share of the service.
struct customer_load_message
{
  router_id router;
  service_name service;
  customer_name customer;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  duration age;

  bool operator==(const customer_load_message&) const = default;
};

/// Newest version of a document or table that a router applies.
struct applied_message
{
  enum class object_kind : std::uint8_t
  {
    document,
    table
  };

  router_id router;
  object_kind kind = object_kind::document;
  /// Name of the service or domain.
  std::string name;
  revision version;

  bool operator==(const applied_message&) const = default;
};

/// A message that the mesh disseminates to all routers.
using mesh_message = std::variant<document_message,
                                  table_message,
                                  presence_message,
                                  leaving_message,
                                  suspect_request_message,
                                  customer_load_message,
                                  applied_message>;

} // namespace persimmon::peers
