#pragma once

#include "base/clock.h"
#include "standins/common/answertokens.h"
#include "standins/engine/engineorder.h"
#include "standins/engine/engineoutput.h"
#include "standins/engine/enginestatus.h"
#include "standins/engine/memberboard.h"
#include "standins/engine/prefixcache.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace persimmon::standins {

/// How an engine instance behaves.
struct engine_options
{
  bool fencing = true;
  /// Time to load weights that are not resident.
  duration loadTime{ 500 };
  /// Weights come from elsewhere and must be announced by WeightsFetched().
  bool fetchesWeights = false;
  /// Time between two tokens of a request.
  duration tokenInterval{ 20 };
  /// Time to compute one block of prompt that is not cached.
  duration blockTime{ 2 };
  std::size_t cacheBlocks = 4096;
  std::size_t maxRunning = 8;
  std::size_t maxQueued = 64;
  /// How old a load report gets before the next.
  duration reportInterval{ 200 };
  /// A member that has not been heard for so long counts as gone.
  duration memberTimeout{ 300 };
};

/// What became of an order.
struct order_result
{
  /// Empty when the order was accepted.
  std::string refusal;
  /// Requests that the order cut off or dropped.
  std::vector<engine_output> outputs;
  /// The order changed the instance, rather than repeating what it was already told.
  bool changed = false;
  /// Weights must be fetched; the instance waits for WeightsFetched() with this number.
  std::optional<std::uint64_t> fetch;
};

/// One instance of a model engine: orders, loading, batching and the presence of its group. It has
/// no clock, threads or connections of its own.
class engine_instance
{
public:
  engine_instance(const engine_options& aOptions, instance_id aInstance);

  /// Carries out an order, or tells why it is refused.
  order_result Handle(const engine_order& aOrder, time_point aNow);
  /// Ends the fetch of that number; fetches that are no longer waited for are ignored.
  void WeightsFetched(std::uint64_t aFetch);
  /// Takes a request into the queue, or returns why not. Nothing has run when it is refused.
  std::optional<engine_refusal> Submit(engine_request aRequest,
                                       time_point aNow,
                                       const member_board& aBoard);
  /// Drops a request whose caller left. Returns a cut if it was running.
  std::optional<engine_output> Cancel(std::uint64_t aNumber);
  /// Lets time pass: loads end, requests start, tokens come.
  std::vector<engine_output> Tick(time_point aNow, const member_board& aBoard);
  /// Ends this life; all requests are lost.
  std::vector<engine_output> Die(const std::string& aCause);
  /// Goes on after a pause; the members of a larger group have given up on a head that was long
  /// away.
  std::vector<engine_output> Wake(duration aPause);
  /// Begins a new life: idle, with nothing resident.
  void Return();
  /// Makes all tokens slower by a factor.
  void SetStraggle(std::int64_t aFactor) { mStraggle = aFactor; }
  /// A request whose body contains this text makes the instance die; empty for none.
  void SetCrashMarker(std::string aMarker) { mCrashMarker = std::move(aMarker); }

  [[nodiscard]] bool IsDead() const { return mDead; }
  /// Returns the worst that is known of any member.
  [[nodiscard]] group_presence Presence(time_point aNow, const member_board& aBoard) const;
  [[nodiscard]] engine_status Status(time_point aNow, const member_board& aBoard) const;
  [[nodiscard]] member_report Report(time_point aNow) const;
  /// Addresses of the group's members, this instance included.
  [[nodiscard]] const std::vector<order_member>& Members() const { return mMembers; }

private:
  using shared_request = std::shared_ptr<const engine_request>;

  struct running_request
  {
    shared_request request;
    answer_tokens tokens;
    std::size_t emitted = 0;
    time_point nextAt;
  };

  bool Repeats(const engine_order& aOrder) const;
  void Load(const engine_order& aOrder, time_point aNow, order_result& aResult);
  void Adapt(const engine_order& aOrder, order_result& aResult);
  void Release(order_result& aResult);
  void FinishLoad(time_point aNow);
  group_presence PresenceOf(const order_member& aMember,
                            time_point aNow,
                            const member_board& aBoard) const;
  bool IsResident() const;
  void MakeResident();
  std::optional<engine_refusal> Admission(const engine_request& aRequest,
                                          time_point aNow,
                                          const member_board& aBoard) const;
  void Start(time_point aNow, std::vector<engine_output>& aOutputs);
  bool StartOne(time_point aNow, std::vector<engine_output>& aOutputs);
  bool Advance(running_request& aRunning, time_point aNow, std::vector<engine_output>& aOutputs);
  void DropAll(const std::string& aCause, std::vector<engine_output>& aOutputs);
  void TakeLoadReport(time_point aNow);
  member_status StatusOfMember(const order_member& aMember,
                               time_point aNow,
                               const member_board& aBoard) const;
  [[nodiscard]] duration TokenInterval() const { return mOptions.tokenInterval * mStraggle; }

  engine_options mOptions;
  instance_id mInstance;
  incarnation mLife{ 1 };
  bool mDead = false;
  std::int64_t mStraggle = 1;
  std::string mCrashMarker;

  engine_state mState = engine_state::idle;
  fencing_token mToken;
  group_id mGroup;
  generation mVersion;
  service_name mService;
  std::string mModel;
  std::string mAdapter;
  std::string mModelVersion;
  std::uint32_t mRank = 0;
  std::vector<order_member> mMembers;
  std::deque<std::string> mResident;
  time_point mLoadedAt;
  std::uint64_t mFetch = 0;
  bool mFetching = false;

  /// Waiting requests by priority, then by arrival.
  std::multimap<std::uint32_t, shared_request> mQueue;
  std::vector<running_request> mRunning;
  prefix_cache mCache;
  load_report mLoad;
};

} // namespace persimmon::standins
