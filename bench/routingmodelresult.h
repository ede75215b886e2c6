#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace persimmon::bench {

/// How one request of a model run ended.
enum class model_ending
{
  answered,
  /// Refused before it ran.
  refused,
  /// Every attempt failed.
  failed,
  /// The caller left at the deadline.
  expired
};

struct model_request_result
{
  std::size_t customer = 0;
  time_point arrivedAt;
  model_ending ending = model_ending::expired;
  /// Time to the ending; the whole deadline unless it was answered.
  duration latency{};
};

/// Requests that arrived after the warm-up, and the attempts they took.
struct model_result
{
  std::vector<model_request_result> requests;
  std::uint64_t attempts = 0;

  /// Returns a quantile of the latency in milliseconds; requests that were not answered count with
  /// their whole deadline. Only arrivals in [aFrom, aTo) of one customer, or of all when SIZE_MAX.
  [[nodiscard]] double Quantile(double aPart,
                                std::size_t aCustomer = SIZE_MAX,
                                time_point aFrom = { INT64_MIN },
                                time_point aTo = { INT64_MAX }) const;
  /// Returns a quantile of the latency in milliseconds over the answered requests alone.
  [[nodiscard]] double AnsweredQuantile(double aPart) const;
  /// Returns the part of requests that ended in one way.
  [[nodiscard]] double Part(model_ending aEnding,
                            std::size_t aCustomer = SIZE_MAX,
                            time_point aFrom = { INT64_MIN },
                            time_point aTo = { INT64_MAX }) const;
};

} // namespace persimmon::bench
