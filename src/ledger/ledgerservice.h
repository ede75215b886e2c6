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
  /// This process of this router.
  writer_identity self;
  commit_policy commitPolicy;
  /// Threads that call the store; each uses its own store connection.
  std::size_t storeThreads = 4;
  /// Maximum number of closes that wait while the store is down. Further closes are dropped, and
  /// the outcome of their keys remains unknown.
  std::size_t maxWaitingCloses = 8192;
  /// Seed of the jitter in retries and sweeps.
  std::uint64_t seed = 0;
};

/// Ensures that a call is executed at most once: runs ledger_shard and ledger_sweep over an object
/// store. All methods are thread-safe. Callbacks run on the caller's thread, a store thread or the
/// timer thread, with no lock held; they must not block.
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
  /// Stops the threads. Callers that still wait get the verdict store_unavailable.
  ~ledger_service();
  ledger_service(const ledger_service&) = delete;
  ledger_service& operator=(const ledger_service&) = delete;

  /// Commits an intent; aOnReply is called exactly once. Only a reply with a permit allows a
  /// dispatch, and only a single dispatch.
  void Begin(const begin_request& aRequest, const begin_callback& aOnReply);
  /// Records the outcome of a granted call. Pass not_run only with proof that the upstream did not
  /// execute the call, because it allows the key to be used again. Returns at once; the store is
  /// written asynchronously.
  void Close(const dispatch_permit& aPermit, close_outcome aOutcome);
  /// Writes all waiting closes now and waits until they are recorded, for at most aTimeout. Returns
  /// false when some are not recorded by then.
  bool Flush(duration aTimeout);

private:
  struct waiting_caller
  {
    begin_callback onReply;
    dispatch_permit permit;
    time_point startedAt;
    /// Age of the key when Begin() was called.
    duration keyAge;
  };

  /// Shards and callers that share a mutex; a shard always belongs to the same stripe.
  struct stripe
  {
    std::mutex mutex;
    std::map<shard_id, ledger_shard> shards;
    std::map<attempt_ref, waiting_caller> callers;
    std::uint64_t handledEvents = 0;
  };

  /// A call that waits until the floor, the oldest accepted slice, is known; see ledger_sweep.
  struct unadmitted_call
  {
    waiting_caller caller;
    begin_event event;
  };

  using store_job = std::function<void(Store&)>;

  static constexpr std::size_t kStripes = 16;
  /// Longest time that a call can take. An open intent of an older key is reported as unknown
  /// instead of in progress.
  static constexpr duration kMaxCallDuration = 600_s;
  /// How long an idle shard stays in memory after its last event.
  static constexpr duration kIdleShardRetention = 15_s;
  static constexpr std::uint64_t kEventsPerEviction = 256;
  static constexpr duration kFlushPollInterval = 5_ms;
  /// Time between two attempts of Flush() to write all closes.
  static constexpr duration kFlushRetryInterval = 250_ms;
  /// Upper bound of a caller's timeout. It bounds how long after its admission a call may write an
  /// intent, on which the deletion of slices relies; see ledger_sweep.
  static constexpr duration kMaxBeginTimeout = 30_s;
  static constexpr duration kFloorRetryAfter = 2_s;

  stripe& StripeFor(const shard_id& aShard);
  ledger_shard& FindOrCreateShard(stripe& aStripe, const shard_id& aShard);
  void EvictIdleShards(stripe& aStripe, time_point aNow);
  std::optional<parsed_key> ValidateKey(const begin_request& aRequest,
                                        begin_result& aRefusal) const;
  void Refuse(const waiting_caller& aCaller, const begin_result& aResult);
  void Admit(waiting_caller aCaller, const begin_event& aEvent);
  void ProcessEvent(const shard_id& aShard, const shard_event& aEvent);
  void Perform(const shard_id& aShard, std::vector<shard_action> aActions);
  void Perform(const shard_id& aShard, const verdict_action& aAction);
  void Perform(const shard_id& aShard, const dropped_close_action& aAction);
  void FlushAllShards();
  void ProcessSweepEvent(const sweep_event& aEvent);
  void Perform(const sweep_action& aAction);
  void AdmitWaitingCalls();
  void DeliverReply(const waiting_caller& aCaller, const begin_reply& aReply);
  void RunStoreThread(Store aStore);
  void Read(Store& aStore, const shard_id& aShard);
  void Write(Store& aStore, const shard_id& aShard, const write_action& aWrite);
  void ReadSweep(Store& aStore);
  void WriteSweep(Store& aStore, const sweep_write& aWrite);
  void DeleteSlice(Store& aStore, std::int64_t aSlice);
  bool DeleteObject(Store& aStore, const platform::object_key& aKey);
  void RecordStoreCall(const char* aKind,
                       platform::store_error aError,
                       const platform::object_key& aKey);

  ledger_settings mSettings;
  metrics_registry& mMetrics;
  Clock mClock;
  Wall mWall;
  std::atomic<std::uint64_t> mNextAttempt{ 1 };
  std::atomic<std::size_t> mWaitingCloses{ 0 };
  std::array<stripe, kStripes> mStripes;
  std::mutex mSweepMutex;
  ledger_sweep mSweep;
  std::vector<unadmitted_call> mUnadmittedCalls;
  blocking_queue<store_job> mJobs;
  std::optional<timer_queue> mTimers;
  std::vector<std::thread> mThreads;
};

} // namespace persimmon::ledger

#include "ledger/internal/ledgerserviceimpl.h"
