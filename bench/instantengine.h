#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "entry/httpserver.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmon::bench {

/// What an instant_engine does with a request.
struct engine_pace
{
  /// Tokens of a streamed answer.
  std::size_t tokens = 1;
  /// Time between two tokens; the first comes at once.
  duration interval;
};

/// Heads of groups of one instance that answer at once, so that a router's own cost shows. Each
/// token is the time in nanoseconds at which it was sent.
class instant_engine
{
public:
  instant_engine(std::size_t aGroups, engine_pace aPace);
  ~instant_engine();

  /// Makes a router know the groups: puts a document and a domain table at the platform.
  bool Announce(const std::string& aStoreUrl) const;
  [[nodiscard]] const endpoint& Address(std::size_t aGroup) const { return mAddresses[aGroup]; }

private:
  struct stream
  {
    std::shared_ptr<entry::responder> responder;
    std::size_t left = 0;
    std::int64_t nextNs = 0;
  };

  /// Streams of one thread.
  struct lane
  {
    std::mutex mutex;
    std::vector<stream> arrivals;
    std::thread thread;
  };

  void Answer(std::size_t aGroup,
              const entry::server_request& aRequest,
              const std::shared_ptr<entry::responder>& aResponder);
  void SendState(std::size_t aGroup, entry::responder& aResponder) const;
  void Run(lane& aLane) const;
  bool Advance(stream& aStream, std::int64_t aNowNs) const;

  engine_pace mPace;
  std::atomic<bool> mStopping{ false };
  std::atomic<std::size_t> mNextLane{ 0 };
  std::vector<std::unique_ptr<lane>> mLanes;
  std::vector<endpoint> mAddresses;
  entry::http_server mServer;
};

/// Nanoseconds of the clock that stamps tokens.
std::int64_t
NowNs();

} // namespace persimmon::bench
