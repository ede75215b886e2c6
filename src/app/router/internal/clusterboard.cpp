#include "app/router/clusterboard.h"

#include "base/random.h"
#include "routing/routingevents.h"

namespace persimmon::router {
namespace {

/// Name and revision of what a message brings, if it is a document or table.
struct applied_object
{
  std::string kind;
  std::string name;
  revision version;
};

std::optional<applied_object>
ObjectOf(const peers::mesh_message& aMessage)
{
  if (const auto* document = std::get_if<peers::document_message>(&aMessage)) {
    return applied_object{ "service", document->service.value, document->version };
  }
  if (const auto* table = std::get_if<peers::table_message>(&aMessage)) {
    return applied_object{ "domain", table->domain.value, table->version };
  }
  return std::nullopt;
}

} // namespace

cluster_board::cluster_board(router_id aSelf,
                             zone_name aZone,
                             history::history_writer& aHistory,
                             admission_sink aSink)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mHistory(aHistory)
  , mSink(std::move(aSink))
{
}

bool
cluster_board::Apply(const peers::mesh_message& aMessage, time_point aNow)
{
  const std::lock_guard lock(mViewMutex);
  const view_change change = std::visit(
    [&](const auto& aKind) {
      if constexpr (requires { mView.Apply(aKind, aNow); }) {
        return mView.Apply(aKind, aNow);
      } else {
        return view_change::none;
      }
    },
    aMessage);
  if (change == view_change::malformed) {
    LogMalformed(aMessage);
    return false;
  }
  if (change == view_change::eligibility) {
    Publish(aNow);
    RecordApplied(aMessage);
  }
  return change != view_change::none;
}

void
cluster_board::Apply(const std::vector<platform::listed_instance>& aList, time_point aNow)
{
  const std::lock_guard lock(mViewMutex);
  if (mView.Apply(aList, aNow) == view_change::eligibility) {
    Publish(aNow);
  }
}

void
cluster_board::Tick(time_point aNow)
{
  {
    const std::lock_guard lock(mViewMutex);
    mView.Prune(aNow);
    Publish(aNow);
  }
  for (const auto& service : Services()) {
    mSink(service->Tick(aNow));
    for (const routing::health_change& change : service->Maintain(aNow)) {
      WriteLog(routing::kUpstreamHealthChanged,
               { { "service", service->Name().value },
                 { "upstream", change.id.value },
                 { "before", std::to_string(static_cast<int>(change.before)) },
                 { "after", std::to_string(static_cast<int>(change.after)) } });
    }
  }
}

void
cluster_board::Publish(time_point aNow)
{
  for (const service_name& name : mView.Services()) {
    const auto shard = ShardFor(name, aNow);
    auto view = mView.Service(name);
    if (view != shard->View()) {
      mSink(shard->Update(std::move(view), aNow));
    }
  }
}

std::shared_ptr<service_shard>
cluster_board::ShardFor(const service_name& aName, time_point aNow)
{
  const std::lock_guard lock(mServicesMutex);
  auto& shard = mServices[aName];
  if (!shard) {
    shard = std::make_shared<service_shard>(aName, mSelf, mZone, EntropySeed(), aNow);
  }
  return shard;
}

void
cluster_board::RecordApplied(const peers::mesh_message& aMessage)
{
  const auto object = ObjectOf(aMessage);
  if (!object) {
    return;
  }
  history::event event;
  event.kind = history::event_kind::applied;
  event.object = object->kind + "/" + object->name;
  event.revision = object->version.value;
  mHistory.Write(std::move(event));
  WriteLog(object->kind == "service" ? routing::kDocumentApplied : routing::kTableApplied,
           { { "name", object->name }, { "revision", std::to_string(object->version.value) } });
}

void
cluster_board::LogMalformed(const peers::mesh_message& aMessage)
{
  if (const auto object = ObjectOf(aMessage)) {
    WriteLog(routing::kObjectMalformed,
             { { "object", object->kind + "/" + object->name },
               { "revision", std::to_string(object->version.value) },
               { "problem", mView.LastReason() } });
  }
}

std::shared_ptr<service_shard>
cluster_board::Service(const service_name& aName) const
{
  const std::lock_guard lock(mServicesMutex);
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<service_shard>>
cluster_board::Services() const
{
  const std::lock_guard lock(mServicesMutex);
  std::vector<std::shared_ptr<service_shard>> services;
  for (const auto& [name, shard] : mServices) {
    services.push_back(shard);
  }
  return services;
}

std::vector<placement::group>
cluster_board::Groups() const
{
  const std::lock_guard lock(mViewMutex);
  return mView.Groups();
}

std::vector<peers::leaving_message>
cluster_board::Leaving() const
{
  const std::lock_guard lock(mViewMutex);
  return mView.LeavingInstances();
}

std::vector<peers::applied_message>
cluster_board::Applied() const
{
  const std::lock_guard lock(mViewMutex);
  return mView.AppliedRevisions(mSelf);
}

bool
cluster_board::Empty() const
{
  const std::lock_guard lock(mViewMutex);
  return mView.Empty();
}

} // namespace persimmon::router
