#pragma once

#include "history/historywriter.h"
#include "load/callplanner.h"
#include "load/internal/exchange.h"
#include "load/loadrunner.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace persimmon::load {

/// One thread that sends its share of the calls over one libcurl multi handle.
class load_worker
{
public:
  load_worker(const load_options& aOptions,
              history::history_writer& aHistory,
              std::size_t aIndex,
              time_point aEpochStart);
  ~load_worker();

  /// Starts the thread; call times count from aStart.
  void Start(time_point aStart);
  void Join();
  [[nodiscard]] bool IsRunning() const { return mRunning; }
  [[nodiscard]] load_statistics Statistics() const;

private:
  /// A call that waits to be sent again.
  struct waiting_call
  {
    time_point at;
    std::unique_ptr<open_call> call;
  };

  void Run();
  void SendDue(time_point aNow);
  void ResendDue(time_point aNow);
  void Send(std::unique_ptr<open_call> aCall);
  void TakeFinished();
  void LeaveDue(time_point aNow);
  void End(CURL* aHandle, const exchange_result& aResult);
  void Conclude(const open_call& aCall, const exchange_result& aResult);
  void AddTokens(exchange& aExchange, open_call& aCall);
  void RecordSent(const exchange& aExchange, const std::string& aRouter);
  void RecordEnd(const exchange& aExchange, const exchange_result& aResult);
  [[nodiscard]] int WaitMs(time_point aNow) const;

  const load_options& mOptions;
  history::history_writer& mHistory;
  call_planner mPlanner;
  CURLM* mMulti;
  time_point mStart;
  std::optional<planned_call> mNext;
  std::unordered_map<CURL*, std::unique_ptr<exchange>> mOpen;
  std::vector<waiting_call> mWaiting;
  std::atomic<bool> mRunning{ false };
  mutable std::mutex mMutex;
  load_statistics mStatistics;
  std::thread mThread;
};

} // namespace persimmon::load
