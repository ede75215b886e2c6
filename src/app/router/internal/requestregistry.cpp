#include "app/router/requestregistry.h"

#include "app/router/exchange.h"

namespace persimmon::router {
namespace {

routing::flow_event
EventOf(const routing::admission_action& aAction)
{
  using routing::admission_verdict;
  using routing::refusal_reason;
  switch (aAction.verdict) {
    case admission_verdict::start:
      return routing::flow_admitted{};
    case admission_verdict::customer_over_share:
      return routing::flow_not_admitted{ refusal_reason::customer_over_share, aAction.retryAfter };
    case admission_verdict::queue_full:
      return routing::flow_not_admitted{ refusal_reason::queue_full, aAction.retryAfter };
    case admission_verdict::wait_exceeds_deadline:
      return routing::flow_not_admitted{ refusal_reason::wait_exceeds_deadline,
                                         aAction.retryAfter };
    case admission_verdict::deadline_passed:
      return routing::flow_not_admitted{ refusal_reason::deadline_exceeded, aAction.retryAfter };
    case admission_verdict::unknown_customer:
      return routing::flow_not_admitted{ refusal_reason::unknown_customer, {} };
  }
  return routing::flow_not_admitted{ refusal_reason::queue_full, aAction.retryAfter };
}

} // namespace

request_registry::shard&
request_registry::ShardOf(const request_id& aRequest)
{
  return mShards[std::hash<request_id>{}(aRequest) % kShards];
}

const request_registry::shard&
request_registry::ShardOf(const request_id& aRequest) const
{
  return mShards[std::hash<request_id>{}(aRequest) % kShards];
}

void
request_registry::Add(const request_id& aRequest, std::shared_ptr<exchange> aExchange)
{
  shard& target = ShardOf(aRequest);
  const std::lock_guard lock(target.mutex);
  target.exchanges.emplace(aRequest, std::move(aExchange));
}

void
request_registry::Remove(const request_id& aRequest)
{
  shard& target = ShardOf(aRequest);
  const std::lock_guard lock(target.mutex);
  target.exchanges.erase(aRequest);
}

std::shared_ptr<exchange>
request_registry::Find(const request_id& aRequest) const
{
  const shard& source = ShardOf(aRequest);
  const std::lock_guard lock(source.mutex);
  const auto found = source.exchanges.find(aRequest);
  return found == source.exchanges.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<exchange>>
request_registry::All() const
{
  std::vector<std::shared_ptr<exchange>> all;
  for (const shard& source : mShards) {
    const std::lock_guard lock(source.mutex);
    for (const auto& [request, found] : source.exchanges) {
      all.push_back(found);
    }
  }
  return all;
}

std::size_t
request_registry::Count() const
{
  std::size_t count = 0;
  for (const shard& source : mShards) {
    const std::lock_guard lock(source.mutex);
    count += source.exchanges.size();
  }
  return count;
}

void
request_registry::CarryOut(const std::vector<routing::admission_action>& aActions) const
{
  for (const routing::admission_action& action : aActions) {
    if (const auto found = Find(action.request)) {
      found->RecordAdmission(action);
      found->Post(EventOf(action));
    }
  }
}

void
request_registry::RefuseWaiting(const service_name& aService) const
{
  for (const auto& found : All()) {
    if (found->Service() == aService) {
      found->Post(routing::flow_not_admitted{ routing::refusal_reason::no_upstream, 1_s });
    }
  }
}

void
request_registry::TellLost(const lost_upstream& aLost) const
{
  for (const auto& found : All()) {
    if (found->Service() == aLost.service) {
      found->UpstreamLost(aLost.upstream, aLost.version);
    }
  }
}

} // namespace persimmon::router
