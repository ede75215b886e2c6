#include "app/router/decisionlog.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::router {

std::string
RenderDecisions(const decision_record& aRecord)
{
  std::string text = fmt::format("request={} service={} customer={}\n",
                                 aRecord.request.value,
                                 aRecord.service.value,
                                 aRecord.customer.value);
  for (const decision_step& step : aRecord.steps) {
    text += fmt::format("  {:>6} ms  {} {}\n", step.after.ms, step.what, step.detail);
  }
  return text;
}

decision_log::decision_log(std::size_t aCapacity)
  : mCapacityPerShard(std::max<std::size_t>(1, aCapacity / kShards))
{
}

std::size_t
decision_log::IndexOf(const request_id& aRequest)
{
  return std::hash<request_id>{}(aRequest) % kShards;
}

void
decision_log::Add(decision_record aRecord)
{
  shard& target = mShards[IndexOf(aRecord.request)];
  const std::lock_guard lock(target.mutex);
  const request_id request = aRecord.request;
  target.records[request] = std::make_shared<const decision_record>(std::move(aRecord));
  target.order.push_back(request);
  if (target.order.size() > mCapacityPerShard) {
    target.records.erase(target.order.front());
    target.order.pop_front();
  }
}

std::shared_ptr<const decision_record>
decision_log::Find(const request_id& aRequest) const
{
  const shard& source = mShards[IndexOf(aRequest)];
  const std::lock_guard lock(source.mutex);
  const auto found = source.records.find(aRequest);
  return found == source.records.end() ? nullptr : found->second;
}

} // namespace persimmon::router
