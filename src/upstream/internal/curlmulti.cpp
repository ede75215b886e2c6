#include "upstream/internal/curlmulti.h"

namespace persimmon::upstream {
namespace {

constexpr long kMaxCachedConnections = 1024;

void
EnsureCurlInitialized()
{
  static const CURLcode kInitResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitResult);
}

CURLM*
MakeMulti()
{
  EnsureCurlInitialized();
  return curl_multi_init();
}

} // namespace

curl_multi::curl_multi(asio::io_context& aContext, std::function<void(CURL*, CURLcode)> aOnDone)
  : mContext(aContext)
  , mTimer(aContext)
  , mOnDone(std::move(aOnDone))
  , mMulti(MakeMulti())
{
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &curl_multi::OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &curl_multi::OnTimer);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
}

curl_multi::~curl_multi()
{
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, nullptr);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, nullptr);
  for (auto& [socket, watched] : mSockets) {
    watched->descriptor.release();
  }
  curl_multi_cleanup(mMulti);
}

void
curl_multi::Add(CURL* aHandle)
{
  curl_multi_add_handle(mMulti, aHandle);
}

void
curl_multi::Remove(CURL* aHandle)
{
  curl_multi_remove_handle(mMulti, aHandle);
}

void
curl_multi::Resume(CURL* aHandle)
{
  curl_easy_pause(aHandle, CURLPAUSE_CONT);
  RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
}

int
curl_multi::OnSocket(CURL*, curl_socket_t aSocket, int aWhat, void* aSelf, void*)
{
  auto& self = *static_cast<curl_multi*>(aSelf);
  if (aWhat == CURL_POLL_REMOVE) {
    self.Unwatch(aSocket);
  } else {
    self.Watch(aSocket, aWhat);
  }
  return 0;
}

int
curl_multi::OnTimer(CURLM*, long aDelayMs, void* aSelf)
{
  static_cast<curl_multi*>(aSelf)->SetTimer(aDelayMs);
  return 0;
}

void
curl_multi::Watch(curl_socket_t aSocket, int aWantedEvents)
{
  auto& watched = mSockets[aSocket];
  if (!watched) {
    watched = std::make_shared<watched_socket>(
      watched_socket{ asio::posix::stream_descriptor(mContext, aSocket) });
  }
  watched->wantedEvents = aWantedEvents;
  StartWaiting(aSocket, watched);
}

void
curl_multi::Unwatch(curl_socket_t aSocket)
{
  const auto found = mSockets.find(aSocket);
  if (found == mSockets.end()) {
    return;
  }
  found->second->wantedEvents = 0;
  // libcurl owns the socket and closes it.
  found->second->descriptor.release();
  mSockets.erase(found);
}

void
curl_multi::StartWaiting(curl_socket_t aSocket, const std::shared_ptr<watched_socket>& aWatched)
{
  if ((aWatched->wantedEvents & CURL_POLL_IN) != 0 && !aWatched->isReadWaitPending) {
    aWatched->isReadWaitPending = true;
    aWatched->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                    [this, aSocket, aWatched](const asio::error_code& aError) {
                                      aWatched->isReadWaitPending = false;
                                      OnReady(aSocket, aWatched, aError ? 0 : CURL_CSELECT_IN);
                                    });
  }
  if ((aWatched->wantedEvents & CURL_POLL_OUT) != 0 && !aWatched->isWriteWaitPending) {
    aWatched->isWriteWaitPending = true;
    aWatched->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                    [this, aSocket, aWatched](const asio::error_code& aError) {
                                      aWatched->isWriteWaitPending = false;
                                      OnReady(aSocket, aWatched, aError ? 0 : CURL_CSELECT_OUT);
                                    });
  }
}

void
curl_multi::OnReady(curl_socket_t aSocket,
                    const std::shared_ptr<watched_socket>& aWatched,
                    int aEvent)
{
  const int wanted = aEvent == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
  if (aEvent == 0 || (aWatched->wantedEvents & wanted) == 0) {
    return;
  }
  RunSocketAction(aSocket, aEvent);
  if (aWatched->wantedEvents != 0) {
    StartWaiting(aSocket, aWatched);
  }
}

void
curl_multi::SetTimer(long aDelayMs)
{
  mTimer.cancel();
  if (aDelayMs < 0) {
    return;
  }
  mTimer.expires_after(std::chrono::milliseconds(aDelayMs));
  mTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

void
curl_multi::RunSocketAction(curl_socket_t aSocket, int aEvent)
{
  int running = 0;
  curl_multi_socket_action(mMulti, aSocket, aEvent, &running);
  ReportCompleted();
}

void
curl_multi::ReportCompleted()
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg == CURLMSG_DONE) {
      mOnDone(message->easy_handle, message->data.result);
    }
  }
}

} // namespace persimmon::upstream
