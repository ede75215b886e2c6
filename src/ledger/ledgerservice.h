#pragma once

#include "base/blockingqueue.h"
#include "base/log.h"
#include "ledger/begincall.h"
#include "ledger/ledgerevents.h"
#include "ledger/ledgermetrics.h"
#include "ledger/ledgershard.h"
#include "ledger/ledgersweep.h"
#include "ledger/timerqueue.h"
#include "platform/objectstore.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmon::ledger {

/// Settings of a ledger_service.
struct ledger_settings
{
  /// This life of this router.
  writer_identity self;
  commit_policy commitPolicy;
  /// Threads that call the store; each has a store of its own.
  std::size_t storeThreads = 4;
  /// Closes kept while the store is down; later ones are dropped and their keys stay "unknown".
  std::size_t maxWaitingCloses = 8192;
  std::uint64_t seed = 0;
};

/// Makes sure that a call is run at most once: runs ledger_shard over an object store. All methods
/// may be called from any thread. Callbacks come on the caller's thread, a store thread or the
/// timer's thread, without a lock held; they must not block.
template<platform::object_store Store,
         clock_source Clock = boot_clock,
         clock_source Wall = wall_clock>
class ledger_service
{
public:
  using begin_callback = std::function<void(const begin_reply&)>;
  using store_factory = std::function<Store()>;

  ledger_service(ledger_settings aSettings,
                 const store_factory& aMakeStore,
                 metrics_registry& aMetrics,
                 Clock aClock = {},
                 Wall aWall = {});
  /// Ends the threads. Callers still waiting are told that the store is unavailable.
  ~ledger_service();
  ledger_service(const ledger_service&) = delete;
  ledger_service& operator=(const ledger_service&) = delete;

  /// Commits an intent; aDone is called exactly once. Only a reply with a dispatch_permit allows a
  /// dispatch, and only one.
  void Begin(const begin_request& aRequest, const begin_callback& aDone);
  /// Records how a granted call ended. not_run only with proof that the upstream did not run it;
  /// it lets the caller use the key again. Returns at once; the store is written later.
  void Close(const dispatch_permit& aPermit, close_outcome aOutcome);
  /// Writes all closes now and waits until they are recorded, at most aLongest; returns false when
  /// some are not.
  bool Flush(duration aLongest);

private:
  struct waiting_caller
  {
    begin_callback done;
    dispatch_permit permit;
    time_point began;
    /// Age of the key when the call came.
    duration keyAge;
  };

  struct stripe
  {
    std::mutex mutex;
    std::map<shard_id, ledger_shard> shards;
    std::map<attempt_ref, waiting_caller> callers;
    std::uint64_t uses = 0;
  };

  /// A call that came while the floor was not known.
  struct early_call
  {
    waiting_caller caller;
    begin_event event;
  };

  using store_job = std::function<void(Store&)>;

  static constexpr std::size_t kStripes = 16;
  /// An open intent of an older key is reported as unknown instead of in progress.
  static constexpr duration kLongestCall = 600_s;
  /// How long an unused shard stays in memory.
  static constexpr duration kKeepIdle = 15_s;
  static constexpr std::uint64_t kUsesPerCleanUp = 256;
  static constexpr duration kFlushPoll = 5_ms;
  /// Time between two attempts to write all closes at once.
  static constexpr duration kFlushRetry = 250_ms;
  /// Bounds how long a call may be on its way; see ledger_sweep.
  static constexpr duration kMaxBeginTimeout = 30_s;
  static constexpr duration kRetryFloor = 2_s;

  stripe& StripeOf(const shard_id& aShard);
  ledger_shard& ShardIn(stripe& aStripe, const shard_id& aShard);
  void CleanUp(stripe& aStripe, time_point aNow);
  std::optional<parsed_key> Check(const begin_request& aRequest, begin_result& aRefusal) const;
  void Refuse(const waiting_caller& aCaller, const begin_result& aResult);
  void Admit(waiting_caller aCaller, const begin_event& aEvent);
  void Feed(const shard_id& aShard, const shard_event& aEvent);
  void Perform(const shard_id& aShard, std::vector<shard_action> aActions);
  void Perform(const shard_id& aShard, const verdict_action& aAction);
  void Perform(const shard_id& aShard, const dropped_close_action& aAction);
  void FlushAll();
  void FeedSweep(const sweep_event& aEvent);
  void Perform(const sweep_action& aAction);
  void AdmitEarlyCalls();
  void Report(const waiting_caller& aCaller, const begin_reply& aReply);
  void RunStoreThread(Store aStore);
  void Read(Store& aStore, const shard_id& aShard);
  void Write(Store& aStore, const shard_id& aShard, const write_action& aWrite);
  void ReadSweep(Store& aStore);
  void WriteSweep(Store& aStore, const sweep_write& aWrite);
  void DropSlice(Store& aStore, std::int64_t aSlice);
  bool DropObject(Store& aStore, const platform::object_key& aKey);
  void CountCall(const char* aKind, platform::store_error aError, const platform::object_key& aKey);

  ledger_settings mSettings;
  metrics_registry& mMetrics;
  Clock mClock;
  Wall mWall;
  std::atomic<std::uint64_t> mNextAttempt{ 1 };
  std::atomic<std::size_t> mOpenCloses{ 0 };
  std::array<stripe, kStripes> mStripes;
  std::mutex mSweepMutex;
  ledger_sweep mSweep;
  std::vector<early_call> mEarlyCalls;
  blocking_queue<store_job> mJobs;
  std::optional<timer_queue> mTimers;
  std::vector<std::thread> mThreads;
};

} // namespace persimmon::ledger

#include "ledger/internal/ledgerserviceimpl.h"
