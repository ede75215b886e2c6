#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::load {

/// A caller whose key the load tool sends.
struct load_customer
{
  customer_name name;
  std::string key;
};

/// What kinds of calls are made and how often. Shares are between 0 and 1.
struct load_mix
{
  /// Model services, called by chat completions.
  std::vector<service_name> models;
  /// Plain services, called by lookups and ledger entries.
  std::vector<service_name> services;
  /// Callers; the first ones call most.
  std::vector<load_customer> customers;
  /// Calls a second over all services; arrivals are Poisson.
  double rate = 10;
  duration length{ 10000 };
  /// Share of calls that go to plain services, where there are both kinds.
  double plainShare = 0.2;
  /// Share of model calls that are streamed.
  double streamedShare = 0.7;
  /// Share of plain calls that may not be repeated.
  double onceShare = 0.5;
  /// Share of model calls whose caller leaves before the end.
  double leaveShare = 0.01;
  /// Share of answered calls with an idempotency key that are sent again.
  double duplicateShare = 0.02;
  /// Number of different prompt prefixes.
  std::uint64_t prefixes = 32;
  /// Length of each prompt prefix in words.
  std::uint64_t prefixWords = 64;
  /// Longest answer asked for, in tokens; lengths are uniform from 1.
  std::uint64_t maxTokens = 32;
  /// Deadline that each call carries.
  duration deadline{ 30000 };
};

} // namespace persimmon::load
