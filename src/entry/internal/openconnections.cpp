#include "entry/internal/openconnections.h"

#include <algorithm>

namespace persimmon::entry {

void
open_connections::Add(const std::shared_ptr<caller_connection>& aConnection, closer aClose)
{
  const std::lock_guard lock(mMutex);
  mConnections[aConnection.get()] = { aConnection, std::move(aClose) };
  mCount = mConnections.size();
}

void
open_connections::Remove(const caller_connection& aConnection)
{
  const std::lock_guard lock(mMutex);
  mConnections.erase(&aConnection);
  mCount = mConnections.size();
}

std::size_t
open_connections::CountUnsent() const
{
  const std::lock_guard lock(mMutex);
  return static_cast<std::size_t>(
    std::count_if(mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return aEntry.second.connection->HasUnsentBytes();
    }));
}

std::vector<open_connections::idle_connection>
open_connections::IdleConnections() const
{
  const std::lock_guard lock(mMutex);
  std::vector<idle_connection> idle;
  for (const auto& [key, open] : mConnections) {
    if (const auto since = open.connection->IdleSince()) {
      idle.push_back({ *since, &open.close });
    }
  }
  return idle;
}

std::size_t
open_connections::CloseIdleSince(time_point aTime)
{
  std::size_t closed = 0;
  for (const idle_connection& idle : IdleConnections()) {
    closed += idle.since < aTime && (*idle.close)() ? 1 : 0;
  }
  return closed;
}

std::size_t
open_connections::CloseLongestIdle(std::size_t aMost)
{
  std::vector<idle_connection> idle = IdleConnections();
  std::sort(idle.begin(), idle.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.since < aRight.since;
  });
  std::size_t closed = 0;
  for (const idle_connection& candidate : idle) {
    if (closed == aMost) {
      break;
    }
    closed += (*candidate.close)() ? 1 : 0;
  }
  return closed;
}

} // namespace persimmon::entry
