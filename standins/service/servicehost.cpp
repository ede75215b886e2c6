#include "standins/service/servicehost.h"

#include "base/hash.h"
#include "history/digest.h"

#include <fmt/format.h>
#include <mutex>
#include <unordered_map>

namespace persimmon::standins {
namespace {

using shared_responder = std::shared_ptr<entry::responder>;
using history::event;
using history::event_kind;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kLedgerPrefix = "/ledger";

struct held_call
{
  entry::server_request request;
  shared_responder responder;
};

service_call
CallOf(const entry::server_request& aRequest)
{
  service_call call;
  call.attempt.value = aRequest.Header("Persimmon-Attempt");
  call.request.value = aRequest.Header("Persimmon-Request");
  call.key.value = aRequest.Header("Idempotency-Key");
  call.method = aRequest.method;
  call.path = aRequest.path;
  call.body = aRequest.body;
  return call;
}

} // namespace

struct service_host::implementation
{
  service_options options;
  execution_counter& executions;
  history::history_writer& history;
  std::function<void(bool)> onAlive;

  mutable std::mutex mutex;
  service_instance service;
  bool paused = false;
  /// The plan in force keeps the instance dead.
  bool heldDead = false;
  bool deathTold = false;
  std::uint64_t lastNumber = 0;
  std::unordered_map<std::uint64_t, shared_responder> pending;
  std::vector<held_call> held;

  implementation(const service_options& aOptions,
                 const instance_id& aInstance,
                 execution_counter& aExecutions,
                 history::history_writer& aHistory,
                 std::function<void(bool)> aOnAlive)
    : options(aOptions)
    , executions(aExecutions)
    , history(aHistory)
    , onAlive(std::move(aOnAlive))
    , service(aOptions, aInstance, HashText(aInstance.value))
  {
  }

  static time_point Now() { return steady_clock().Now(); }

  void Process(const entry::server_request& aRequest, const shared_responder& aResponder);
  void Refuse(const service_call& aCall, const shared_responder& aResponder) const;
  event EventOf(event_kind aKind, const service_call& aCall) const;
  void WriteMembership(const char* aDetail);
  void Finish(const finished_call& aFinished, const shared_responder& aResponder);
  std::string Answer(const service_call& aCall);
  std::vector<entry::server_header> Headers(const service_call& aCall, std::size_t aRunning) const;
  void Die(const char* aCause);
  void TellDeath();
  void Return();
  void SetPaused(bool aPaused);
};

service_host::service_host(const service_options& aOptions,
                           const instance_id& aInstance,
                           execution_counter& aExecutions,
                           history::history_writer& aHistory,
                           std::function<void(bool)> aOnAlive)
  : mImplementation(std::make_unique<implementation>(aOptions,
                                                     aInstance,
                                                     aExecutions,
                                                     aHistory,
                                                     std::move(aOnAlive)))
{
}

service_host::~service_host() = default;

void
service_host::SetAddress(const endpoint& /*aAddress*/)
{
  const std::lock_guard lock(mImplementation->mutex);
  mImplementation->WriteMembership("started");
}

void
service_host::Handle(const entry::server_request& aRequest,
                     const std::shared_ptr<entry::responder>& aResponder)
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    if (mImplementation->paused && !mImplementation->service.IsDead()) {
      mImplementation->held.push_back({ aRequest, aResponder });
      return;
    }
  }
  mImplementation->Process(aRequest, aResponder);
}

void
service_host::implementation::Process(const entry::server_request& aRequest,
                                      const shared_responder& aResponder)
{
  service_call call = CallOf(aRequest);
  call_verdict verdict = call_verdict::dropped;
  {
    const std::lock_guard lock(mutex);
    call.number = ++lastNumber;
    call.life = service.Life();
    if (!service.IsDead()) {
      verdict = service.Submit(call, Now());
    }
    if (verdict == call_verdict::runs || verdict == call_verdict::crashes) {
      pending[call.number] = aResponder;
      event started = EventOf(event_kind::started, call);
      started.digest = history::DigestOf(call.body);
      history.Write(started);
    }
  }
  if (verdict == call_verdict::refused) {
    Refuse(call, aResponder);
  } else if (verdict == call_verdict::dropped) {
    aResponder->Abort();
  } else if (verdict == call_verdict::crashes) {
    Die("crashed");
  }
}

void
service_host::implementation::Refuse(const service_call& aCall,
                                     const shared_responder& aResponder) const
{
  std::vector<entry::server_header> headers = Headers(aCall, options.maxRunning);
  headers.push_back({ "Persimmon-Ran", "no" });
  aResponder->Send({ kServiceUnavailable, std::move(headers), R"({"reason":"full"})" });
}

event
service_host::implementation::EventOf(event_kind aKind, const service_call& aCall) const
{
  event written;
  written.kind = aKind;
  written.request = aCall.request.value;
  written.attempt = aCall.attempt.value;
  written.key = aCall.key.value;
  written.once = !aCall.key.Empty();
  written.service = options.service.value;
  written.instance = service.Instance().value;
  written.incarnation = aCall.life.value;
  return written;
}

void
service_host::implementation::WriteMembership(const char* aDetail)
{
  event changed;
  changed.kind = event_kind::membership;
  changed.service = options.service.value;
  changed.instance = service.Instance().value;
  changed.incarnation = service.Life().value;
  changed.detail = aDetail;
  history.Write(changed);
}

std::vector<entry::server_header>
service_host::implementation::Headers(const service_call& aCall, std::size_t aRunning) const
{
  return { { "Content-Type", "application/json" },
           { "Persimmon-Attempt", aCall.attempt.value },
           { "Persimmon-Service", options.service.value },
           { "Persimmon-Load", fmt::format("running={};queued=0", aRunning) } };
}

std::string
service_host::implementation::Answer(const service_call& aCall)
{
  nlohmann::json answer = { { "service", options.service.value },
                            { "method", aCall.method },
                            { "path", aCall.path },
                            { "digest", history::DigestOf(aCall.body) } };
  if (aCall.path.starts_with(kLedgerPrefix)) {
    answer["executions"] = executions.Count(aCall.key.value, aCall.body);
  }
  return answer.dump();
}

void
service_host::implementation::Finish(const finished_call& aFinished,
                                     const shared_responder& aResponder)
{
  const std::string body = Answer(aFinished.call);
  std::size_t running = 0;
  {
    const std::lock_guard lock(mutex);
    event completed = EventOf(event_kind::completed, aFinished.call);
    completed.digest = history::DigestOf(body);
    history.Write(completed);
    running = service.Running();
  }
  if (aFinished.dropped) {
    aResponder->Abort();
  } else {
    aResponder->Send({ kOk, Headers(aFinished.call, running), body });
  }
}

void
service_host::Tick()
{
  mImplementation->TellDeath();
  std::vector<finished_call> finished;
  std::vector<shared_responder> responders;
  {
    const std::lock_guard lock(mImplementation->mutex);
    if (mImplementation->paused) {
      return;
    }
    finished = mImplementation->service.Tick(implementation::Now());
    for (const finished_call& call : finished) {
      responders.push_back(std::move(mImplementation->pending[call.call.number]));
      mImplementation->pending.erase(call.call.number);
    }
  }
  for (std::size_t i = 0; i < finished.size(); ++i) {
    mImplementation->Finish(finished[i], responders[i]);
  }
}

void
service_host::implementation::Die(const char* aCause)
{
  std::unordered_map<std::uint64_t, shared_responder> lostAnswers;
  std::vector<held_call> lostCalls;
  {
    const std::lock_guard lock(mutex);
    if (service.IsDead()) {
      return;
    }
    for (const service_call& call : service.Die()) {
      event cut = EventOf(event_kind::cut, call);
      cut.detail = aCause;
      history.Write(cut);
    }
    WriteMembership("died");
    lostAnswers.swap(pending);
    lostCalls.swap(held);
  }
  for (const auto& [number, responder] : lostAnswers) {
    responder->Abort();
  }
  for (const held_call& call : lostCalls) {
    call.responder->Abort();
  }
}

void
service_host::implementation::TellDeath()
{
  {
    const std::lock_guard lock(mutex);
    if (!service.IsDead() || deathTold) {
      return;
    }
    deathTold = true;
  }
  onAlive(false);
}

void
service_host::implementation::Return()
{
  {
    const std::lock_guard lock(mutex);
    if (!service.IsDead()) {
      return;
    }
    service.Return();
    deathTold = false;
    WriteMembership("started");
  }
  onAlive(true);
}

void
service_host::ReturnFromCrash()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    if (mImplementation->heldDead) {
      return;
    }
  }
  mImplementation->Return();
}

void
service_host::Apply(const service_faults& aPlan)
{
  instance_faults faults;
  bool deadBefore = false;
  bool pausedBefore = false;
  {
    const std::lock_guard lock(mImplementation->mutex);
    faults = aPlan.Of(mImplementation->service.Instance());
    deadBefore = mImplementation->heldDead;
    pausedBefore = mImplementation->paused;
    mImplementation->heldDead = faults.dead;
    mImplementation->service.Apply(aPlan);
  }
  if (faults.dead && !deadBefore) {
    mImplementation->Die("died");
    mImplementation->TellDeath();
  } else if (!faults.dead && deadBefore) {
    mImplementation->Return();
  }
  if (faults.paused != pausedBefore) {
    mImplementation->SetPaused(faults.paused);
  }
}

void
service_host::implementation::SetPaused(bool aPaused)
{
  std::vector<held_call> calls;
  {
    const std::lock_guard lock(mutex);
    paused = aPaused;
    WriteMembership(aPaused ? "paused" : "resumed");
    if (!aPaused) {
      calls.swap(held);
    }
  }
  // Calls that came during the pause run even when their callers have left since.
  for (const held_call& call : calls) {
    Process(call.request, call.responder);
  }
}

incarnation
service_host::Life() const
{
  const std::lock_guard lock(mImplementation->mutex);
  return mImplementation->service.Life();
}

} // namespace persimmon::standins
