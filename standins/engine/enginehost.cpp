#include "standins/engine/enginehost.h"

#include "history/digest.h"
#include "standins/common/standinevents.h"
#include "standins/engine/engineanswers.h"

#include <fmt/format.h>
#include <mutex>
#include <unordered_map>

namespace persimmon::standins {
namespace {

using shared_responder = std::shared_ptr<entry::responder>;
using history::event;
using history::event_kind;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

// Details of membership events, and causes of cuts, beside the names of states.
constexpr const char* kStarted = "started";
constexpr const char* kDied = "died";
constexpr const char* kPaused = "paused";
constexpr const char* kResumed = "resumed";

struct pending_answer
{
  shared_responder responder;
  bool streaming = false;
};

struct held_call
{
  entry::server_request request;
  shared_responder responder;
};

event
EventOf(event_kind aKind, const instance_id& aInstance, const engine_request& aRequest)
{
  event written;
  written.kind = aKind;
  written.instance = aInstance.value;
  written.incarnation = aRequest.life.value;
  written.request = aRequest.request.value;
  written.attempt = aRequest.attempt.value;
  written.key = aRequest.key.value;
  written.once = !aRequest.key.Empty();
  written.service = aRequest.service.value;
  written.group = aRequest.group.value;
  written.generation = aRequest.version.value;
  written.streamed = aRequest.streamed;
  return written;
}

bool
IsCompletionPath(const std::string& aPath)
{
  return aPath == "/v1/chat/completions" || aPath == "/v1/completions";
}

} // namespace

/// Locks are taken in this order: delivery, mutex, the board's.
struct engine_host::implementation
{
  instance_id instance;
  shared_board& board;
  history::history_writer& history;
  host_callbacks callbacks;
  endpoint address;

  /// Held while answers are passed on, so that those of one request keep their order.
  std::mutex delivery;
  mutable std::mutex mutex;
  engine_instance engine;
  instance_faults faults;
  std::unordered_map<std::uint64_t, pending_answer> pending;
  std::vector<held_call> held;
  std::uint64_t lastNumber = 0;
  member_report lastReport;
  time_point pausedAt;
  /// Whether onAlive was last told that the instance is dead.
  bool deathTold = false;

  implementation(const engine_options& aOptions,
                 const instance_id& aInstance,
                 shared_board& aBoard,
                 history::history_writer& aHistory,
                 host_callbacks aCallbacks)
    : instance(aInstance)
    , board(aBoard)
    , history(aHistory)
    , callbacks(std::move(aCallbacks))
    , engine(aOptions, aInstance)
  {
    lastReport = engine.Report({});
  }

  static time_point Now() { return steady_clock().Now(); }

  engine_status Status() const
  {
    return board.Read([this](const member_board& aBoard) { return engine.Status(Now(), aBoard); });
  }

  void Process(const entry::server_request& aRequest, const shared_responder& aResponder);
  void ProcessOrder(const entry::server_request& aRequest, const shared_responder& aResponder);
  void ProcessCompletion(const entry::server_request& aRequest, const shared_responder& aResponder);
  void Refuse(const entry::server_request& aRequest,
              const shared_responder& aResponder,
              int aStatus,
              const std::string& aReason) const;
  std::vector<engine_output> TickLocked();
  void ReportLocked();
  void WriteMembership(const char* aDetail);
  void RecordLocked(const std::vector<engine_output>& aOutputs);
  void RecordOne(const engine_output& aOutput);
  void Deliver(const std::vector<engine_output>& aOutputs);
  void DeliverOne(const engine_output& aOutput);
  void DeliverTokens(const engine_output& aOutput, const shared_responder& aResponder);
  void DeliverWhole(const engine_output& aOutput, const shared_responder& aResponder);
  shared_responder Take(std::uint64_t aNumber);
  shared_responder StartStreaming(const engine_output& aOutput, bool& aFirst);
  void AbortAll();
  void Die(const std::string& aCause);
  void TellDeath();
  void Return();
  void Pause();
  void Wake();
  void CancelLeft();
  void Left(std::uint64_t aNumber);
};

engine_host::engine_host(const engine_options& aOptions,
                         const instance_id& aInstance,
                         shared_board& aBoard,
                         history::history_writer& aHistory,
                         host_callbacks aCallbacks)
  : mImplementation(std::make_unique<implementation>(aOptions,
                                                     aInstance,
                                                     aBoard,
                                                     aHistory,
                                                     std::move(aCallbacks)))
{
}

engine_host::~engine_host() = default;

void
engine_host::SetAddress(const endpoint& aAddress)
{
  const std::lock_guard lock(mImplementation->mutex);
  mImplementation->address = aAddress;
  mImplementation->WriteMembership(kStarted);
  mImplementation->ReportLocked();
}

void
engine_host::Handle(const entry::server_request& aRequest,
                    const std::shared_ptr<entry::responder>& aResponder)
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    if (mImplementation->engine.IsDead()) {
      aResponder->Abort();
      return;
    }
    if (mImplementation->faults.paused) {
      mImplementation->held.push_back({ aRequest, aResponder });
      return;
    }
  }
  mImplementation->Process(aRequest, aResponder);
}

void
engine_host::implementation::Process(const entry::server_request& aRequest,
                                     const shared_responder& aResponder)
{
  if (aRequest.method == "GET" && aRequest.path == "/state") {
    std::unique_lock lock(mutex);
    const std::string body = RenderStatus(Status());
    lock.unlock();
    aResponder->Send({ kOk, { { "Content-Type", "application/json" } }, body });
  } else if (aRequest.method == "POST" && aRequest.path == "/orders") {
    ProcessOrder(aRequest, aResponder);
  } else if (aRequest.method == "POST" && IsCompletionPath(aRequest.path)) {
    ProcessCompletion(aRequest, aResponder);
  } else {
    Refuse(aRequest, aResponder, kNotFound, "not_found");
  }
}

void
engine_host::implementation::Refuse(const entry::server_request& aRequest,
                                    const shared_responder& aResponder,
                                    int aStatus,
                                    const std::string& aReason) const
{
  std::unique_lock lock(mutex);
  const engine_status status = Status();
  lock.unlock();
  const attempt_id attempt{ aRequest.Header("Persimmon-Attempt") };
  aResponder->Send(RefusalAnswer(attempt, aStatus, aReason, status));
}

void
engine_host::implementation::ProcessOrder(const entry::server_request& aRequest,
                                          const shared_responder& aResponder)
{
  json_problem problem;
  const auto order = ParseOrder(aRequest.body.Text(), problem);
  if (!order) {
    const nlohmann::json body = { { "reason", "bad_request" }, { "detail", problem.Text() } };
    aResponder->Send({ kBadRequest, {}, body.dump() });
    return;
  }
  const std::lock_guard delivering(delivery);
  std::unique_lock lock(mutex);
  order_result result = engine.Handle(*order, Now());
  if (result.refusal.empty()) {
    event ordered;
    ordered.kind = event_kind::ordered;
    ordered.instance = instance.value;
    ordered.incarnation = order->life.value;
    ordered.group = order->group.value;
    ordered.generation = order->version.value;
    ordered.token = order->token.value;
    ordered.service = order->service.value;
    ordered.detail = OrderName(order->kind);
    for (const order_member& member : order->members) {
      ordered.members.push_back(member.instance.value);
    }
    history.Write(ordered);
  }
  RecordLocked(result.outputs);
  ReportLocked();
  const std::string body = RenderStatus(Status());
  lock.unlock();
  WriteLog(kOrderHandled,
           { { "instance", instance.value },
             { "order", OrderName(order->kind) },
             { "group", order->group.value },
             { "generation", std::to_string(order->version.value) },
             { "token", std::to_string(order->token.value) },
             { "outcome", result.refusal.empty() ? "accepted" : result.refusal } });
  Deliver(result.outputs);
  if (result.fetch) {
    callbacks.onFetch(order->model, order->modelVersion, [this, fetch = *result.fetch] {
      const std::lock_guard locked(mutex);
      engine.WeightsFetched(fetch);
    });
  }
  if (result.refusal.empty()) {
    aResponder->Send({ kOk, { { "Content-Type", "application/json" } }, body });
  } else {
    aResponder->Send({ kConflict, {}, nlohmann::json{ { "reason", result.refusal } }.dump() });
  }
}

void
engine_host::implementation::ProcessCompletion(const entry::server_request& aRequest,
                                               const shared_responder& aResponder)
{
  json_problem problem;
  auto request = ParseEngineRequest(aRequest, problem);
  if (!request) {
    Refuse(aRequest, aResponder, kBadRequest, problem.Text());
    return;
  }
  std::optional<engine_refusal> refusal;
  std::uint64_t number = 0;
  {
    const std::lock_guard delivering(delivery);
    std::unique_lock lock(mutex);
    number = ++lastNumber;
    request->number = number;
    refusal = board.Read([&](const member_board& aBoard) {
      return engine.Submit(std::move(*request), Now(), aBoard);
    });
    if (!refusal) {
      pending[number] = { aResponder, false };
      const std::vector<engine_output> outputs = TickLocked();
      lock.unlock();
      Deliver(outputs);
    }
  }
  if (refusal) {
    Refuse(aRequest, aResponder, refusal->status, refusal->reason);
  } else {
    aResponder->OnLeave([this, number] { Left(number); });
  }
}

void
engine_host::implementation::Left(std::uint64_t aNumber)
{
  const std::lock_guard lock(mutex);
  if (faults.paused) {
    // A paused engine does not see its callers leave; CancelLeft() cancels when it wakes.
    return;
  }
  pending.erase(aNumber);
  if (const auto cut = engine.Cancel(aNumber)) {
    RecordOne(*cut);
  }
}

std::vector<engine_output>
engine_host::implementation::TickLocked()
{
  const bool deadBefore = engine.IsDead();
  std::vector<engine_output> outputs =
    board.Read([this](const member_board& aBoard) { return engine.Tick(Now(), aBoard); });
  RecordLocked(outputs);
  if (engine.IsDead() && !deadBefore) {
    board.Forget(address);
    WriteMembership(kDied);
  } else {
    ReportLocked();
  }
  return outputs;
}

void
engine_host::implementation::ReportLocked()
{
  const member_report report = engine.Report(Now());
  board.Report(address, report);
  const bool changed = report.group != lastReport.group || report.version != lastReport.version ||
                       report.state != lastReport.state;
  lastReport = report;
  if (changed) {
    WriteMembership(StateName(report.state));
  }
}

void
engine_host::implementation::WriteMembership(const char* aDetail)
{
  const member_report report = engine.Report(Now());
  event changed;
  changed.kind = event_kind::membership;
  changed.instance = instance.value;
  changed.incarnation = report.life.value;
  changed.group = report.group.value;
  changed.generation = report.version.value;
  changed.detail = aDetail;
  for (const order_member& member : engine.Members()) {
    changed.members.push_back(member.instance.value);
  }
  history.Write(changed);
}

void
engine_host::implementation::RecordLocked(const std::vector<engine_output>& aOutputs)
{
  for (const engine_output& output : aOutputs) {
    RecordOne(output);
  }
}

void
engine_host::implementation::RecordOne(const engine_output& aOutput)
{
  if (aOutput.what == engine_output::kind::started) {
    event started = EventOf(event_kind::started, instance, *aOutput.request);
    started.digest = history::DigestOf(aOutput.request->body);
    history.Write(started);
  } else if (aOutput.what == engine_output::kind::completed) {
    event completed = EventOf(event_kind::completed, instance, *aOutput.request);
    completed.digest = history::DigestOf(aOutput.text);
    history.Write(completed);
  } else if (aOutput.what == engine_output::kind::cut) {
    event cut = EventOf(event_kind::cut, instance, *aOutput.request);
    cut.detail = aOutput.text;
    history.Write(cut);
  }
}

void
engine_host::implementation::Deliver(const std::vector<engine_output>& aOutputs)
{
  for (const engine_output& output : aOutputs) {
    DeliverOne(output);
  }
  bool dead = false;
  {
    const std::lock_guard lock(mutex);
    dead = engine.IsDead();
  }
  if (dead) {
    AbortAll();
  }
}

void
engine_host::implementation::DeliverOne(const engine_output& aOutput)
{
  if (aOutput.what == engine_output::kind::tokens) {
    if (!aOutput.request->streamed) {
      return;
    }
    bool first = false;
    const shared_responder responder = StartStreaming(aOutput, first);
    if (responder && first) {
      std::unique_lock lock(mutex);
      const load_report load = Status().load;
      lock.unlock();
      responder->StartStream(kOk, AnswerHeaders(*aOutput.request, load));
    }
    if (responder) {
      responder->Write(TokenEvent(*aOutput.request, aOutput.text));
    }
    return;
  }
  if (aOutput.what == engine_output::kind::started) {
    return;
  }
  const shared_responder responder = Take(aOutput.request->number);
  if (!responder) {
    return;
  }
  if (aOutput.what == engine_output::kind::completed) {
    DeliverWhole(aOutput, responder);
  } else if (aOutput.what == engine_output::kind::cut) {
    responder->Abort();
  } else {
    std::unique_lock lock(mutex);
    const engine_status status = Status();
    const bool dead = engine.IsDead();
    lock.unlock();
    if (dead) {
      responder->Abort();
    } else {
      responder->Send(RefusalAnswer(
        aOutput.request->attempt, aOutput.refusal.status, aOutput.refusal.reason, status));
    }
  }
}

void
engine_host::implementation::DeliverWhole(const engine_output& aOutput,
                                          const shared_responder& aResponder)
{
  if (aOutput.request->streamed) {
    aResponder->Write(LastEvents(*aOutput.request));
    aResponder->FinishStream();
    return;
  }
  std::unique_lock lock(mutex);
  const load_report load = Status().load;
  lock.unlock();
  aResponder->Send(WholeAnswer(*aOutput.request, aOutput.text, load));
}

shared_responder
engine_host::implementation::Take(std::uint64_t aNumber)
{
  const std::lock_guard lock(mutex);
  const auto found = pending.find(aNumber);
  if (found == pending.end()) {
    return nullptr;
  }
  shared_responder responder = std::move(found->second.responder);
  pending.erase(found);
  return responder;
}

shared_responder
engine_host::implementation::StartStreaming(const engine_output& aOutput, bool& aFirst)
{
  const std::lock_guard lock(mutex);
  const auto found = pending.find(aOutput.request->number);
  if (found == pending.end()) {
    return nullptr;
  }
  aFirst = !found->second.streaming;
  found->second.streaming = true;
  return found->second.responder;
}

void
engine_host::implementation::AbortAll()
{
  std::unordered_map<std::uint64_t, pending_answer> lostAnswers;
  std::vector<held_call> lostCalls;
  {
    const std::lock_guard lock(mutex);
    lostAnswers.swap(pending);
    lostCalls.swap(held);
  }
  for (const auto& [number, answer] : lostAnswers) {
    answer.responder->Abort();
  }
  for (const held_call& call : lostCalls) {
    call.responder->Abort();
  }
}

void
engine_host::Tick()
{
  mImplementation->TellDeath();
  const std::lock_guard delivering(mImplementation->delivery);
  std::unique_lock lock(mImplementation->mutex);
  if (mImplementation->engine.IsDead() || mImplementation->faults.paused) {
    return;
  }
  const std::vector<engine_output> outputs = mImplementation->TickLocked();
  lock.unlock();
  mImplementation->Deliver(outputs);
}

void
engine_host::implementation::TellDeath()
{
  std::unique_lock lock(mutex);
  if (!engine.IsDead() || deathTold) {
    return;
  }
  deathTold = true;
  lock.unlock();
  callbacks.onAlive(false);
}

void
engine_host::Apply(const fleet_faults& aPlan)
{
  const instance_faults faults = aPlan.Of(mImplementation->instance);
  instance_faults before;
  {
    const std::lock_guard lock(mImplementation->mutex);
    before = mImplementation->faults;
    mImplementation->faults = faults;
    mImplementation->faults.paused = before.paused;
    mImplementation->engine.SetStraggle(faults.straggle);
    mImplementation->engine.SetCrashMarker(faults.crashMarker);
  }
  if (faults.dead && !before.dead) {
    mImplementation->Die(kDied);
  } else if (!faults.dead && before.dead) {
    mImplementation->Return();
  }
  if (faults.paused && !before.paused) {
    mImplementation->Pause();
  } else if (!faults.paused && before.paused) {
    mImplementation->Wake();
  }
}

void
engine_host::implementation::Die(const std::string& aCause)
{
  const std::lock_guard delivering(delivery);
  std::unique_lock lock(mutex);
  if (!engine.IsDead()) {
    const std::vector<engine_output> outputs = engine.Die(aCause);
    board.Forget(address);
    RecordLocked(outputs);
    WriteMembership(kDied);
  }
  lock.unlock();
  TellDeath();
  AbortAll();
}

void
engine_host::implementation::Return()
{
  {
    const std::lock_guard lock(mutex);
    engine.Return();
    deathTold = false;
    lastReport = engine.Report(Now());
    WriteMembership(kStarted);
    ReportLocked();
  }
  callbacks.onAlive(true);
}

void
engine_host::ReturnFromCrash()
{
  bool dead = false;
  {
    const std::lock_guard lock(mImplementation->mutex);
    dead = mImplementation->engine.IsDead() && !mImplementation->faults.dead;
  }
  if (dead) {
    mImplementation->Return();
  }
}

void
engine_host::implementation::Pause()
{
  const std::lock_guard lock(mutex);
  faults.paused = true;
  pausedAt = Now();
  if (engine.IsDead()) {
    return;
  }
  member_report silent = engine.Report(pausedAt);
  silent.working = false;
  board.Report(address, silent);
  WriteMembership(kPaused);
}

void
engine_host::implementation::Wake()
{
  std::vector<held_call> calls;
  std::vector<engine_output> outputs;
  {
    const std::lock_guard lock(mutex);
    faults.paused = false;
    calls.swap(held);
    if (!engine.IsDead()) {
      outputs = engine.Wake(Now() - pausedAt);
      RecordLocked(outputs);
      WriteMembership(kResumed);
      ReportLocked();
    }
  }
  {
    const std::lock_guard delivering(delivery);
    Deliver(outputs);
  }
  // Calls that came during the pause are handled even when their callers have left since.
  for (const held_call& call : calls) {
    Process(call.request, call.responder);
  }
  CancelLeft();
}

void
engine_host::implementation::CancelLeft()
{
  std::vector<std::pair<std::uint64_t, shared_responder>> answers;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [number, answer] : pending) {
      answers.emplace_back(number, answer.responder);
    }
  }
  for (const auto& [number, responder] : answers) {
    responder->OnLeave([this, number = number] { Left(number); });
  }
}

std::set<endpoint>
engine_host::HeardAddresses() const
{
  const std::lock_guard lock(mImplementation->mutex);
  std::set<endpoint> addresses;
  const member_report report = mImplementation->engine.Report({});
  const auto& members = mImplementation->engine.Members();
  if (!members.empty() && members.front().instance == report.instance) {
    for (const order_member& member : members) {
      addresses.insert(member.address);
    }
  }
  return addresses;
}

incarnation
engine_host::Life() const
{
  const std::lock_guard lock(mImplementation->mutex);
  return mImplementation->engine.Report({}).life;
}

} // namespace persimmon::standins
