#include "check/promise.h"

namespace persimmon::check {

const char*
PromiseName(promise aPromise)
{
  switch (aPromise) {
    case promise::complete_history:
      return "complete-history";
    case promise::whole_groups:
      return "whole-groups";
    case promise::single_membership:
      return "single-membership";
    case promise::own_answers:
      return "own-answers";
    case promise::truthful_refusals:
      return "truthful-refusals";
    case promise::at_most_once:
      return "at-most-once";
    case promise::leaving_upstreams:
      return "leaving-upstreams";
    case promise::graceful_stops:
      return "graceful-stops";
    case promise::documents_in_force:
      return "documents-in-force";
  }
  return "unknown";
}

std::optional<promise>
ParsePromise(std::string_view aName)
{
  for (const promise candidate : kPromises) {
    if (aName == PromiseName(candidate)) {
      return candidate;
    }
  }
  return std::nullopt;
}

} // namespace persimmon::check
