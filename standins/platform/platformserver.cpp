#include "standins/platform/platformserver.h"

#include "base/random.h"
#include "standins/common/callquota.h"
#include "standins/common/faultcontrol.h"
#include "standins/common/ratequeue.h"
#include "standins/common/standinevents.h"
#include "standins/common/timerloop.h"
#include "standins/platform/lagginglist.h"
#include "standins/platform/objecttable.h"
#include "standins/platform/platformapi.h"
#include "standins/platform/platformfaults.h"

#include <fmt/format.h>
#include <list>
#include <mutex>

namespace persimmon::standins {
namespace {

using shared_responder = std::shared_ptr<entry::responder>;

constexpr duration kWaiterPeriod{ 20 };

int
StatusOf(write_outcome aOutcome)
{
  switch (aOutcome) {
    case write_outcome::created:
      return 201;
    case write_outcome::replaced:
      return 200;
    case write_outcome::deleted:
      return 204;
    case write_outcome::conflict:
      return 412;
    case write_outcome::too_large:
      return 413;
  }
  return 500;
}

entry::server_header
EntityTag(revision aVersion)
{
  return { "ETag", fmt::format("\"{}\"", aVersion.value) };
}

entry::server_response
Plain(int aStatus)
{
  return { aStatus, {}, "" };
}

entry::server_response
Json(std::string aBody)
{
  return { 200, { { "Content-Type", "application/json" } }, std::move(aBody) };
}

struct watch_waiter
{
  watch_query query;
  time_point until;
  shared_responder responder;
};

struct call_counts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
};

} // namespace

struct platform_server::implementation
{
  platform_options options;
  history::history_writer& history;
  fault_control<platform_faults> faults;

  std::mutex mutex;
  object_table objects;
  lagging_list instances;
  rate_queue weights;
  call_quota quota;
  random_source random;
  call_counts counts;
  std::list<watch_waiter> waiters;
  // Last, so that no timer runs while the rest is taken down.
  timer_loop timers;

  implementation(const platform_options& aOptions, history::history_writer& aHistory)
    : options(aOptions)
    , history(aHistory)
    , faults([](const platform_faults&, const platform_faults& aPlan) {
      WriteLog(kFaultsChanged, { { "plan", aPlan.Render().dump() } });
    })
    , objects(aOptions.historyLength)
    , instances(aOptions.listLag)
    , weights(aOptions.weightBytesPerSecond)
    , random(aOptions.seed)
  {
    timers.Every(kWaiterPeriod, [this] { AnswerWaiters(); });
  }

  void Call(const entry::server_request& aRequest, const shared_responder& aResponder);
  void Serve(const entry::server_request& aRequest, const shared_responder& aResponder);
  void Watch(const entry::server_request& aRequest, const shared_responder& aResponder);
  void AnswerWaiters();
  bool TryAnswer(const watch_waiter& aWaiter, time_point aNow);
  void FetchWeights(const entry::server_request& aRequest, const shared_responder& aResponder);
  entry::server_response ServeObject(const entry::server_request& aRequest);
  entry::server_response Read(const platform::object_key& aKey);
  entry::server_response Write(const platform::object_key& aKey,
                               const entry::server_request& aRequest);
  void RecordWrite(const platform::object_key& aKey,
                   const write_result& aResult,
                   const std::string& aValue);
  bool LosesReply(const entry::server_request& aRequest);
  bool AllowCall(const platform_faults& aPlan);
  entry::server_response Instances();
  entry::server_response Counts();
  entry::server_response ChangeInstances(const entry::server_request& aRequest);
  entry::server_response RemoveInstances(const entry::server_request& aRequest);
};

platform_server::platform_server(const platform_options& aOptions,
                                 history::history_writer& aHistory)
  : mImplementation(std::make_unique<implementation>(aOptions, aHistory))
{
}

platform_server::~platform_server()
{
  mImplementation->timers.Stop();
}

void
platform_server::Handle(const entry::server_request& aRequest,
                        const std::shared_ptr<entry::responder>& aResponder)
{
  if (aRequest.path == "/control/faults") {
    mImplementation->faults.Handle(aRequest, *aResponder);
  } else if (aRequest.path == "/control/instances") {
    aResponder->Send(mImplementation->ChangeInstances(aRequest));
  } else if (aRequest.path == "/control/instances/remove") {
    aResponder->Send(mImplementation->RemoveInstances(aRequest));
  } else if (aRequest.path == "/control/counts") {
    aResponder->Send(mImplementation->Counts());
  } else {
    mImplementation->Call(aRequest, aResponder);
  }
}

void
platform_server::implementation::Call(const entry::server_request& aRequest,
                                      const shared_responder& aResponder)
{
  const platform_faults plan = faults.Current();
  if (plan.down) {
    aResponder->Send(Plain(503));
    return;
  }
  if (!AllowCall(plan)) {
    aResponder->Send(Plain(429));
    return;
  }
  if (plan.slow.ms == 0) {
    Serve(aRequest, aResponder);
    return;
  }
  // A late call takes effect even when its caller has given up by then.
  timers.After(plan.slow / 2, [this, aRequest, aResponder] { Serve(aRequest, aResponder); });
}

bool
platform_server::implementation::AllowCall(const platform_faults& aPlan)
{
  const std::lock_guard lock(mutex);
  return quota.Allow(aPlan.callsPerSecond, steady_clock().Now());
}

void
platform_server::implementation::Serve(const entry::server_request& aRequest,
                                       const shared_responder& aResponder)
{
  if (aRequest.path == "/watch") {
    Watch(aRequest, aResponder);
    return;
  }
  if (aRequest.path == "/weights") {
    FetchWeights(aRequest, aResponder);
    return;
  }
  entry::server_response response =
    aRequest.path == "/instances" ? Instances() : ServeObject(aRequest);
  const bool lost = LosesReply(aRequest);
  auto answer = [aResponder, response = std::move(response), lost] {
    if (lost) {
      aResponder->Abort();
    } else {
      aResponder->Send(response);
    }
  };
  const duration slow = faults.Current().slow;
  if (slow.ms == 0) {
    answer();
  } else {
    timers.After(slow - slow / 2, std::move(answer));
  }
}

bool
platform_server::implementation::LosesReply(const entry::server_request& aRequest)
{
  if (aRequest.method != "PUT" && aRequest.method != "DELETE") {
    return false;
  }
  const std::int64_t percent = faults.Current().loseReplyPercent;
  const std::lock_guard lock(mutex);
  return static_cast<std::int64_t>(random.Below(100)) < percent;
}

entry::server_response
platform_server::implementation::ServeObject(const entry::server_request& aRequest)
{
  const auto key = ParseObjectPath(aRequest.path);
  if (!key) {
    return Plain(404);
  }
  if (aRequest.method == "GET") {
    return Read(*key);
  }
  if (key->name.empty() || (aRequest.method != "PUT" && aRequest.method != "DELETE")) {
    return Plain(405);
  }
  return Write(*key, aRequest);
}

entry::server_response
platform_server::implementation::Read(const platform::object_key& aKey)
{
  const std::lock_guard lock(mutex);
  ++counts.reads;
  if (aKey.name.empty()) {
    return Json(RenderObjectList(objects.List(aKey.kind)));
  }
  const auto object = objects.Get(aKey);
  if (!object) {
    return Plain(404);
  }
  return { 200, { EntityTag(object->version) }, object->value };
}

entry::server_response
platform_server::implementation::Write(const platform::object_key& aKey,
                                       const entry::server_request& aRequest)
{
  const auto condition = ParseCondition(aRequest);
  const bool deletes = aRequest.method == "DELETE";
  if (!condition || (deletes && !condition->expected)) {
    return Plain(428);
  }
  write_result result;
  {
    const std::lock_guard lock(mutex);
    ++counts.writes;
    result = deletes ? objects.Delete(aKey, *condition->expected)
                     : objects.Put(aKey, aRequest.body, *condition);
    RecordWrite(aKey, result, aRequest.body);
  }
  AnswerWaiters();
  entry::server_response response = Plain(StatusOf(result.outcome));
  if (result.version.value != 0) {
    response.headers.push_back(EntityTag(result.version));
  }
  return response;
}

void
platform_server::implementation::RecordWrite(const platform::object_key& aKey,
                                             const write_result& aResult,
                                             const std::string& aValue)
{
  if (aResult.version.value == 0) {
    return;
  }
  history::event accepted;
  accepted.kind = history::event_kind::accepted;
  accepted.object = aKey.kind + "/" + aKey.name;
  accepted.revision = aResult.version.value;
  if (aKey.kind == "service" || aKey.kind == "domain") {
    accepted.detail = aValue;
  }
  history.Write(accepted);
}

void
platform_server::implementation::Watch(const entry::server_request& aRequest,
                                       const shared_responder& aResponder)
{
  const auto query = ParseWatch(aRequest);
  if (!query) {
    aResponder->Send(Plain(400));
    return;
  }
  const time_point now = steady_clock().Now();
  {
    const std::lock_guard lock(mutex);
    ++counts.watches;
    waiters.push_back({ *query, now + query->wait, aResponder });
  }
  AnswerWaiters();
}

void
platform_server::implementation::AnswerWaiters()
{
  if (faults.Current().stallWatch) {
    return;
  }
  const time_point now = steady_clock().Now();
  const std::lock_guard lock(mutex);
  waiters.remove_if([&](const watch_waiter& aWaiter) { return TryAnswer(aWaiter, now); });
}

bool
platform_server::implementation::TryAnswer(const watch_waiter& aWaiter, time_point aNow)
{
  const auto changes = objects.ChangesAfter(aWaiter.query.kinds, aWaiter.query.from);
  if (!changes) {
    aWaiter.responder->Send(Plain(410));
    return true;
  }
  if (changes->changes.empty() && aNow < aWaiter.until) {
    return false;
  }
  aWaiter.responder->Send(Json(RenderChanges(*changes)));
  return true;
}

void
platform_server::implementation::FetchWeights(const entry::server_request& aRequest,
                                              const shared_responder& aResponder)
{
  const auto bytes = ParseWeights(aRequest.body);
  if (!bytes) {
    aResponder->Send(Plain(400));
    return;
  }
  const time_point now = steady_clock().Now();
  time_point done;
  {
    const std::lock_guard lock(mutex);
    done = weights.Take(*bytes, now);
  }
  timers.After(done - now, [aResponder] { aResponder->Send(Json("{}")); });
}

entry::server_response
platform_server::implementation::Instances()
{
  const std::lock_guard lock(mutex);
  ++counts.reads;
  return Json(platform::RenderInstanceList(instances.Visible(steady_clock().Now())));
}

entry::server_response
platform_server::implementation::Counts()
{
  const std::lock_guard lock(mutex);
  return Json(nlohmann::json{
    { "reads", counts.reads }, { "writes", counts.writes }, { "watches", counts.watches } }
                .dump());
}

entry::server_response
platform_server::implementation::ChangeInstances(const entry::server_request& aRequest)
{
  json_problem problem;
  const auto list = platform::ParseInstanceList(aRequest.body.Text(), problem);
  if (!list) {
    return { 400, {}, problem.Text() };
  }
  const std::lock_guard lock(mutex);
  for (const platform::listed_instance& instance : *list) {
    if (instances.Add(instance, steady_clock().Now())) {
      history::event leaving;
      leaving.kind = history::event_kind::leaving;
      leaving.instance = instance.id.value;
      leaving.incarnation = instance.incarnation.value;
      history.Write(leaving);
    }
  }
  return Json("{}");
}

entry::server_response
platform_server::implementation::RemoveInstances(const entry::server_request& aRequest)
{
  json_problem problem;
  const auto body = ParseJson(aRequest.body.Text(), problem);
  if (!body || !body->is_object() || !body->value("ids", nlohmann::json()).is_array()) {
    return Plain(400);
  }
  const std::lock_guard lock(mutex);
  for (const nlohmann::json& id : (*body)["ids"]) {
    if (id.is_string()) {
      instances.Remove({ id.get<std::string>() }, steady_clock().Now());
    }
  }
  return Json("{}");
}

} // namespace persimmon::standins
