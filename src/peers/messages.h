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
  /// The document as JSON; empty for a deleted object, which counts as retired.
  std::string text;

  bool operator==(const document_message&) const = default;
};

/// A domain table that the platform accepted.
struct table_message
{
  domain_id domain;
  revision version;
  std::string text;

  bool operator==(const table_message&) const = default;
};

/// Pace of a member that is as fast as expected.
constexpr std::uint32_t kExpectedPace = 100;

/// What an observer saw when it polled the head of a group.
struct presence_message
{
  group_id group;
  generation version;
  router_id observer;
  /// Time since the observation when the message was sent; the receiver subtracts it from its own
  /// clock.
  duration age;
  /// True when the head answered and every member was present in its expected life and generation.
  bool whole = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /// Time that the slowest member takes for its work, in percent of what is expected.
  std::uint32_t pacePercent = kExpectedPace;

  bool operator==(const presence_message&) const = default;
};

/// An instance that must get no new work in this life.
struct leaving_message
{
  instance_id instance;
  incarnation life;

  bool operator==(const leaving_message&) const = default;
};

/// A request that was in flight when an upstream died.
struct suspect_message
{
  /// Hash of the request's service, customer and body.
  std::uint64_t fingerprint = 0;
  /// Deaths seen with this request in flight alone or among others.
  std::uint32_t deaths = 0;
  bool quarantined = false;
  duration age;

  bool operator==(const suspect_message&) const = default;
};

/// How much of a service a customer uses at one router.
struct share_message
{
  router_id router;
  service_name service;
  customer_name customer;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  duration age;

  bool operator==(const share_message&) const = default;
};

/// The newest version of a document or table that a router applies.
struct applied_message
{
  enum class subject : std::uint8_t
  {
    document,
    table
  };

  router_id router;
  subject what = subject::document;
  /// Name of the service or domain.
  std::string name;
  revision version;

  bool operator==(const applied_message&) const = default;
};

/// One fact that the mesh carries from router to router.
using mesh_message = std::variant<document_message,
                                  table_message,
                                  presence_message,
                                  leaving_message,
                                  suspect_message,
                                  share_message,
                                  applied_message>;

} // namespace persimmon::peers
