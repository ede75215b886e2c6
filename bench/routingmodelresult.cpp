#include "routingmodelresult.h"

#include <algorithm>
#include <utility>

namespace persimmon::bench {
namespace {

bool
Matches(const model_request_result& aRequest,
        std::size_t aCustomer,
        time_point aFrom,
        time_point aTo)
{
  const bool customer = aCustomer == SIZE_MAX || aRequest.customer == aCustomer;
  return customer && aRequest.arrivedAt >= aFrom && aRequest.arrivedAt < aTo;
}

double
QuantileOf(std::vector<std::int64_t> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position =
    static_cast<std::ptrdiff_t>(aPart * static_cast<double>(aValues.size() - 1));
  const auto middle = aValues.begin() + position;
  std::nth_element(aValues.begin(), middle, aValues.end());
  return static_cast<double>(*middle);
}

} // namespace

double
model_result::Quantile(double aPart, std::size_t aCustomer, time_point aFrom, time_point aTo) const
{
  std::vector<std::int64_t> values;
  for (const model_request_result& request : requests) {
    if (Matches(request, aCustomer, aFrom, aTo)) {
      values.push_back(request.latency.ms);
    }
  }
  return QuantileOf(std::move(values), aPart);
}

double
model_result::AnsweredQuantile(double aPart) const
{
  std::vector<std::int64_t> values;
  for (const model_request_result& request : requests) {
    if (request.ending == model_ending::answered) {
      values.push_back(request.latency.ms);
    }
  }
  return QuantileOf(std::move(values), aPart);
}

double
model_result::Part(model_ending aEnding,
                   std::size_t aCustomer,
                   time_point aFrom,
                   time_point aTo) const
{
  std::size_t all = 0;
  std::size_t matching = 0;
  for (const model_request_result& request : requests) {
    if (Matches(request, aCustomer, aFrom, aTo)) {
      ++all;
      matching += request.ending == aEnding ? 1 : 0;
    }
  }
  return all == 0 ? 0 : static_cast<double>(matching) / static_cast<double>(all);
}

} // namespace persimmon::bench
