#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::history {

enum class event_kind
{
  /// Load tool: a call was sent to a router.
  invoked,
  /// Load tool: a call got a whole answer.
  answered,
  /// Load tool: a call was refused or ended unfinished.
  refused,
  /// Router: an attempt was sent to an upstream.
  attempted,
  /// Stand-in: a request began to run.
  started,
  /// Stand-in: a request ran to its end.
  completed,
  /// Stand-in: a running request was cut off, with the cause in `detail`.
  cut,
  /// Stand-in engine: an order was accepted.
  ordered,
  /// Stand-in engine: an instance's membership or life changed.
  membership,
  /// Stand-in platform: an object was accepted.
  accepted,
  /// Router: a document or table version came into force.
  applied,
  /// Stand-in platform: an instance was marked as leaving.
  leaving,
  /// Soak: a fault began or ended.
  fault
};

/// One line of a history. Members that do not apply are empty. Times are CLOCK_MONOTONIC of one
/// machine, so that files of several processes can be merged.
struct event
{
  event_kind kind = event_kind::invoked;
  time_point at;
  /// Process that wrote the event.
  std::string process;
  /// Load tool: one call, from its sending to its end.
  std::string call;
  std::string request;
  std::string attempt;
  std::string key;
  std::string service;
  std::string customer;
  std::string instance;
  std::uint64_t incarnation = 0;
  std::string group;
  std::uint64_t generation = 0;
  std::uint64_t token = 0;
  /// Name and revision of an object.
  std::string object;
  std::uint64_t revision = 0;
  int status = 0;
  /// `ran` of a refusal: "no" or "unknown".
  std::string ran;
  /// `attempt_ran` of a refusal, which speaks of this call alone.
  std::string attemptRan;
  /// Hash of a request body or of a whole answer, in hexadecimal.
  std::string digest;
  /// True for a call that may not be repeated.
  bool once = false;
  bool streamed = false;
  /// Instances of a group, or the members a head saw as present.
  std::vector<std::string> members;
  std::string detail;

  bool operator==(const event&) const = default;
};

/// Name of a kind as the files have it.
const char*
KindName(event_kind aKind);

/// Returns one line of JSON without the line feed; empty members are left out.
std::string
RenderEvent(const event& aEvent);

/// Parses one line; an empty result means that it is not an event, with aProblem telling why.
std::optional<event>
ParseEvent(std::string_view aLine, std::string& aProblem);

} // namespace persimmon::history
