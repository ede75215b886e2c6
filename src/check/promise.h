#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace persimmon::check {

/// What a history is held to.
enum class promise
{
  /// Every execution was sent by a router and every call has one end.
  complete_history,
  /// A group serves only while every member is present.
  whole_groups,
  /// An instance is in one group at a time.
  single_membership,
  /// An answer is the whole answer to the caller's own request.
  own_answers,
  /// A request reported as not run was not run.
  truthful_refusals,
  /// A non-idempotent request runs at most once.
  at_most_once,
  /// A leaving upstream gets no new work after a bound.
  leaving_upstreams,
  /// A planned stop cuts off no request.
  graceful_stops,
  /// An accepted document is in force everywhere within a bound and never reverts.
  documents_in_force
};

inline constexpr std::array kPromises = { promise::complete_history,  promise::whole_groups,
                                          promise::single_membership, promise::own_answers,
                                          promise::truthful_refusals, promise::at_most_once,
                                          promise::leaving_upstreams, promise::graceful_stops,
                                          promise::documents_in_force };

/// Name of a promise in output and on the command line.
const char*
PromiseName(promise aPromise);

/// Returns the promise of that name, if any.
std::optional<promise>
ParsePromise(std::string_view aName);

} // namespace persimmon::check
