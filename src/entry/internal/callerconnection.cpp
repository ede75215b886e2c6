#include "entry/internal/callerconnection.h"

#include "loop/peerend.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace persimmon::entry {

void
caller_connection::Release()
{
  const std::lock_guard lock(mMutex);
  mSocket = kReleased;
}

bool
caller_connection::HasEnded() const
{
  const std::lock_guard lock(mMutex);
  return mSocket == kReleased || loop::HasPeerEnded(mSocket);
}

duration
caller_connection::SinceLastReceived() const
{
  const std::lock_guard lock(mMutex);
  tcp_info info{};
  socklen_t size = sizeof info;
  if (mSocket == kReleased || getsockopt(mSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return {};
  }
  return { info.tcpi_last_data_recv };
}

void
caller_connection::SetReading(bool aIsReading)
{
  const std::lock_guard lock(mMutex);
  mIsReading = aIsReading;
}

bool
caller_connection::IsReading() const
{
  const std::lock_guard lock(mMutex);
  return mIsReading;
}

void
caller_connection::SetRequestReceivedAt(time_point aTime)
{
  const std::lock_guard lock(mMutex);
  mRequestReceivedAt = aTime;
}

time_point
caller_connection::RequestReceivedAt() const
{
  const std::lock_guard lock(mMutex);
  return mRequestReceivedAt;
}

void
caller_connection::OnRequest()
{
  const std::lock_guard lock(mMutex);
  ++mUnanswered;
}

void
caller_connection::OnResponseEnded(time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mUnanswered -= std::min<std::size_t>(mUnanswered, 1);
  mIdleSince = aNow;
}

void
caller_connection::OnPartQueued()
{
  const std::lock_guard lock(mMutex);
  ++mUnwritten;
}

void
caller_connection::OnPartWritten(time_point aNow)
{
  const std::lock_guard lock(mMutex);
  mUnwritten -= std::min<std::size_t>(mUnwritten, 1);
  mIdleSince = aNow;
}

bool
caller_connection::IsResponding() const
{
  const std::lock_guard lock(mMutex);
  return mUnanswered > 0 || mUnwritten > 0;
}

bool
caller_connection::HasUnsentBytes() const
{
  const std::lock_guard lock(mMutex);
  if (mSocket == kReleased) {
    return false;
  }
  int queued = 0;
  const bool isKnown = ioctl(mSocket, SIOCOUTQ, &queued) == 0;
  return mUnwritten > 0 || (isKnown && queued > 0);
}

std::optional<time_point>
caller_connection::IdleSince() const
{
  const std::lock_guard lock(mMutex);
  return mUnanswered > 0 || mUnwritten > 0 ? std::nullopt : std::optional(mIdleSince);
}

void
caller_connection::KeepBodyMemory(std::shared_ptr<body_reservation> aMemory)
{
  const std::lock_guard lock(mMutex);
  mBodyMemory = std::move(aMemory);
}

std::shared_ptr<body_reservation>
caller_connection::TakeBodyMemory()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mBodyMemory, nullptr);
}

bool
caller_connection::HasBodyMemory() const
{
  const std::lock_guard lock(mMutex);
  return mBodyMemory != nullptr;
}

} // namespace persimmon::entry
