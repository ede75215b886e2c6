#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/requestrate.h"

#include <cstdint>
#include <optional>
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
  /// A promise depends on how soon everybody knows it: it goes ahead of all other messages, and at
  /// once.
  bool isUrgent = false;

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
  /// All members were asked and have proved healthy after the group had been reported as broken.
  bool isRecovery = false;

  bool operator==(const presence_message&) const = default;
};

/// An instance that must not receive new work in this incarnation.
struct leaving_message
{
  instance_id instance;
  incarnation incarnationId;

  bool operator==(const leaving_message&) const = default;
};

/// A crash of an upstream with a request in flight, which may have caused it.
struct crash_message
{
  /// Hash that identifies the request when it is sent again.
  std::uint64_t fingerprint = 0;
  /// Identifies the crash: hash of the upstream and its run that ended.
  std::uint64_t crash = 0;
  /// How strongly the crash speaks against the request.
  std::uint32_t weight = 0;
  /// True when nothing else explains the crash.
  bool isolates = false;
  /// True when the request has run to its end since, so that the crash no longer counts.
  bool withdrawn = false;
  duration age;

  /// Returns a number that grows as more becomes known of the same crash: its proof, then its
  /// withdrawal.
  [[nodiscard]] std::uint64_t Version() const
  {
    constexpr std::uint64_t kWithdrawnVersion = 1ULL << 40U;
    return withdrawn ? kWithdrawnVersion : std::uint64_t{ weight } * 2 + (isolates ? 1 : 0) + 1;
  }
  bool operator==(const crash_message&) const = default;
};

/// A request that must not be sent to upstreams for a time.
struct quarantine_message
{
  /// Hash that identifies the request when it is sent again.
  std::uint64_t fingerprint = 0;
  /// Number of quarantines of the request, including this one.
  std::uint32_t count = 0;
  /// True when the request has run to its end since, which ended this quarantine.
  bool lifted = false;
  duration age;

  /// Returns a number that grows with each quarantine of the request and its end.
  [[nodiscard]] std::uint64_t Version() const
  {
    return std::uint64_t{ count } * 2 + (lifted ? 1 : 0);
  }
  bool operator==(const quarantine_message&) const = default;
};

/// A limit that an upstream states for the requests of all routers together.
struct rate_limit_message
{
  instance_id upstream;
  incarnation incarnationId;
  /// Grows with each message about this incarnation, whichever router sends it.
  std::uint64_t sequence = 0;
  /// Empty when the upstream no longer states a limit.
  std::optional<request_rate> limit;
  /// Time since the upstream's statement.
  duration age;

  bool operator==(const rate_limit_message&) const = default;
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

/// Load of all groups of a model, as the router sees it that asks them for reports.
struct model_load_message
{
  router_id observer;
  service_name service;
  std::string model;
  /// Requests that run or wait at the groups.
  std::uint32_t calls = 0;
  /// Requests that the groups run at the same time.
  std::uint32_t slots = 0;
  duration age;

  bool operator==(const model_load_message&) const = default;
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
                                  crash_message,
                                  quarantine_message,
                                  rate_limit_message,
                                  customer_load_message,
                                  model_load_message,
                                  applied_message>;

} // namespace persimmon::peers
