#pragma once

#include "base/ids.h"
#include "upstream/upstreamclient.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace persimmon::bench {

/// What one call showed.
struct call_measure
{
  bool whole = false;
  std::int64_t startNs = 0;
  std::int64_t firstByteNs = 0;
  std::int64_t endNs = 0;
  /// Delay of each token from its stamp to its arrival.
  std::vector<std::int64_t> tokenDelaysNs;
};

/// Makes completion calls to a router or straight to a head, and measures them.
class bench_caller
{
public:
  explicit bench_caller(std::size_t aThreads);

  /// Starts a call; aDone is called on a thread of the caller.
  void Start(const endpoint& aAddress,
             bool aStreamed,
             std::function<void(const call_measure&)> aDone);
  /// Makes a call and waits for its end.
  call_measure Call(const endpoint& aAddress, bool aStreamed);

private:
  upstream::upstream_client mClient;
  std::uint64_t mCalls = 0;
};

} // namespace persimmon::bench
