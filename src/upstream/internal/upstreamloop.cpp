#include "upstream/upstreamloop.h"

#include "loop/internal/eventloopimplementation.h"
#include "upstream/internal/activecall.h"
#include "upstream/internal/curlmulti.h"

#include <atomic>

namespace persimmon::upstream {

struct upstream_loop::implementation
{
  /// Null when the event loop is external.
  std::unique_ptr<loop::event_loop> ownLoop;
  loop::event_loop& loop;
  asio::io_context& context{ loop.Implementation().context };
  std::unordered_map<call_id, std::unique_ptr<active_call>> calls;
  std::unordered_map<timer_id, asio::steady_timer> timers;
  curl_multi multi{ context,
                    [this](CURL* aHandle, CURLcode aCode) { FinishCall(aHandle, aCode); } };
  /// Last id given to a call or timer.
  std::atomic<std::uint64_t> lastId{ 0 };
  /// Empty when upstreams are reached at the addresses that calls name.
  std::function<endpoint(const endpoint&)> translation;

  explicit implementation(loop::event_loop& aLoop)
    : loop(aLoop)
  {
  }

  explicit implementation(std::unique_ptr<loop::event_loop> aLoop)
    : ownLoop(std::move(aLoop))
    , loop(*ownLoop)
  {
  }

  void AddCall(std::unique_ptr<active_call> aCall)
  {
    CURL* handle = aCall->Handle();
    calls.emplace(aCall->Id(), std::move(aCall));
    multi.Add(handle);
  }

  void FinishCall(CURL* aHandle, CURLcode aCode)
  {
    active_call* call = nullptr;
    curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &call);
    multi.Remove(aHandle);
    call->Finish(aCode);
    calls.erase(call->Id());
  }

  void StartTimer(timer_id aId, duration aDelay, std::function<void()> aFunction)
  {
    auto& timer =
      timers.emplace(aId, asio::steady_timer(context, std::chrono::milliseconds(aDelay.ms)))
        .first->second;
    timer.async_wait([this, aId, function = std::move(aFunction)](const asio::error_code& aError) {
      if (!aError) {
        timers.erase(aId);
        function();
      }
    });
  }

  active_call* FindCall(call_id aId)
  {
    const auto found = calls.find(aId);
    return found == calls.end() ? nullptr : found->second.get();
  }
};

upstream_loop::upstream_loop()
  : mImplementation(std::make_unique<implementation>(std::make_unique<loop::event_loop>()))
{
}

upstream_loop::upstream_loop(loop::event_loop& aLoop)
  : mImplementation(std::make_unique<implementation>(aLoop))
{
}

upstream_loop::~upstream_loop()
{
  if (mImplementation->ownLoop) {
    mImplementation->ownLoop->Stop();
  }
  for (auto& [id, call] : mImplementation->calls) {
    call->SuppressHandlers();
    mImplementation->multi.Remove(call->Handle());
  }
}

void
upstream_loop::SetAddressTranslation(std::function<endpoint(const endpoint&)> aTranslation)
{
  mImplementation->translation = std::move(aTranslation);
}

call_id
upstream_loop::Start(upstream_call aCall, call_handlers aHandlers)
{
  // A relay reaches the upstream by addresses of its own.
  if (mImplementation->translation && !aCall.tunnel) {
    aCall.address = mImplementation->translation(aCall.address);
  }
  const call_id id{ ++mImplementation->lastId };
  auto call = std::make_unique<active_call>(id, std::move(aCall), std::move(aHandlers));
  Post([state = mImplementation.get(), shared = std::make_shared<decltype(call)>(std::move(call))] {
    state->AddCall(std::move(*shared));
  });
  return id;
}

void
upstream_loop::Cancel(call_id aCall)
{
  // Within a handler, no further one may run: the rest of a short response is already there.
  if (mImplementation->loop.IsInLoopThread()) {
    if (active_call* call = mImplementation->FindCall(aCall)) {
      call->SuppressHandlers();
    }
  }
  // Posted, because libcurl does not allow removing a handle within its callbacks.
  Post([state = mImplementation.get(), aCall] {
    if (active_call* call = state->FindCall(aCall)) {
      call->SuppressHandlers();
      state->multi.Remove(call->Handle());
      state->calls.erase(aCall);
    }
  });
}

void
upstream_loop::Pause(call_id aCall)
{
  const auto pause = [state = mImplementation.get(), aCall] {
    if (active_call* call = state->FindCall(aCall)) {
      call->SetPaused(true);
    }
  };
  // Within a handler, the pause must take effect before the next onData.
  if (mImplementation->loop.IsInLoopThread()) {
    pause();
  } else {
    Post(pause);
  }
}

void
upstream_loop::Resume(call_id aCall)
{
  Post([state = mImplementation.get(), aCall] {
    if (active_call* call = state->FindCall(aCall)) {
      call->SetPaused(false);
      state->multi.Resume(call->Handle());
    }
  });
}

void
upstream_loop::Post(std::function<void()> aFunction)
{
  mImplementation->loop.Post(std::move(aFunction));
}

timer_id
upstream_loop::After(duration aDelay, std::function<void()> aFunction)
{
  const timer_id id{ ++mImplementation->lastId };
  Post([state = mImplementation.get(), id, aDelay, function = std::move(aFunction)]() mutable {
    state->StartTimer(id, aDelay, std::move(function));
  });
  return id;
}

void
upstream_loop::CancelTimer(timer_id aTimer)
{
  Post([state = mImplementation.get(), aTimer] { state->timers.erase(aTimer); });
}

} // namespace persimmon::upstream
