#include "upstream/internal/curlmulti.h"

namespace persimmon::upstream {
namespace {

constexpr long kIdleConnections = 1024;

void
EnsureCurlStarted()
{
  static const CURLcode kStarted = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kStarted);
}

CURLM*
MakeMulti()
{
  EnsureCurlStarted();
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
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, kIdleConnections);
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
  Act(CURL_SOCKET_TIMEOUT, 0);
}

int
curl_multi::OnSocket(CURL*, curl_socket_t aSocket, int aWhat, void* aSelf, void*)
{
  auto& self = *static_cast<curl_multi*>(aSelf);
  if (aWhat == CURL_POLL_REMOVE) {
    self.Forget(aSocket);
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
curl_multi::Watch(curl_socket_t aSocket, int aWanted)
{
  auto& watched = mSockets[aSocket];
  if (!watched) {
    watched = std::make_shared<watched_socket>(
      watched_socket{ asio::posix::stream_descriptor(mContext, aSocket) });
  }
  watched->wanted = aWanted;
  Arm(aSocket, watched);
}

void
curl_multi::Forget(curl_socket_t aSocket)
{
  const auto found = mSockets.find(aSocket);
  if (found == mSockets.end()) {
    return;
  }
  found->second->wanted = 0;
  // libcurl owns the socket and closes it.
  found->second->descriptor.release();
  mSockets.erase(found);
}

void
curl_multi::Arm(curl_socket_t aSocket, const std::shared_ptr<watched_socket>& aWatched)
{
  if ((aWatched->wanted & CURL_POLL_IN) != 0 && !aWatched->waitsToRead) {
    aWatched->waitsToRead = true;
    aWatched->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                    [this, aSocket, aWatched](const asio::error_code& aError) {
                                      aWatched->waitsToRead = false;
                                      Ready(aSocket, aWatched, aError ? 0 : CURL_CSELECT_IN);
                                    });
  }
  if ((aWatched->wanted & CURL_POLL_OUT) != 0 && !aWatched->waitsToWrite) {
    aWatched->waitsToWrite = true;
    aWatched->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                    [this, aSocket, aWatched](const asio::error_code& aError) {
                                      aWatched->waitsToWrite = false;
                                      Ready(aSocket, aWatched, aError ? 0 : CURL_CSELECT_OUT);
                                    });
  }
}

void
curl_multi::Ready(curl_socket_t aSocket,
                  const std::shared_ptr<watched_socket>& aWatched,
                  int aEvent)
{
  const int wanted = aEvent == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
  if (aEvent == 0 || (aWatched->wanted & wanted) == 0) {
    return;
  }
  Act(aSocket, aEvent);
  if (aWatched->wanted != 0) {
    Arm(aSocket, aWatched);
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
      Act(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

void
curl_multi::Act(curl_socket_t aSocket, int aEvent)
{
  int running = 0;
  curl_multi_socket_action(mMulti, aSocket, aEvent, &running);
  CollectEnded();
}

void
curl_multi::CollectEnded()
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg == CURLMSG_DONE) {
      mOnDone(message->easy_handle, message->data.result);
    }
  }
}

} // namespace persimmon::upstream
