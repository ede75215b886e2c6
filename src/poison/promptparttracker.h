#pragma once

#include "base/ids.h"
#include "poison/losskind.h"
#include "poison/newsallowance.h"
#include "poison/parttrials.h"
#include "poison/promptparttable.h"
#include "poison/requestidentities.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace persimmon::poison {

/// Time from the first part of a response after which the next part proves it sound: a part of a
/// prompt that crashes its upstream does so when the upstream begins to respond to it.
constexpr duration kSoundResponseTime = 200_ms;
/// Time from the first part of a response within which its loss counts fully against its parts.
constexpr duration kHarmfulResponseTime = 150_ms;
/// Time for which crashes wait before they count against a part that was sound a short time ago:
/// sound responses that began after them become known meanwhile.
constexpr duration kSettlingTime = 800_ms;
/// Most crashes that wait; above it, the oldest are dropped.
constexpr std::size_t kMaxSettling = 1024;
/// Crashes against parts that all processes together tell in a second on average, and that one
/// tells at once: their news must not fill the mesh.
constexpr double kMaxPartNewsPerSecond = 60;
constexpr double kMaxPartNewsAtOnce = 16;
/// Of these, as many are kept for further crashes of parts that crashes count against already: most
/// parts, such as the former turns of a conversation, are of one crash and no other.
constexpr double kPartNewsReserve = 12;

/// Most silent upstreams whose counted crashes are remembered; further silences don't count.
constexpr std::size_t kMaxSilences = 1024;

/// Detects parts of prompts that crash the upstreams that begin to respond to them, in requests
/// that are otherwise all different. A crash counts against the shared parts of each request that
/// it ended, once for each part and run of an upstream, and only if the response had just begun or
/// not begun: a response that goes on proves its parts sound. The silence of an upstream counts
/// like a crash until the upstream is heard again. Does no I/O; the caller serialises calls.
class prompt_part_tracker
{
public:
  /// Returns how a request with these parts may be dispatched.
  [[nodiscard]] poison_check Check(const std::vector<std::uint64_t>& aParts, time_point aNow) const;
  /// Returns how a request may be dispatched. Now and then, one whose parts in quarantine were all
  /// sound before is let through at the process that is responsible for the first of them.
  [[nodiscard]] poison_check CheckOrTry(const request_identities& aRequest, time_point aNow);

  /// Records the dispatch of an attempt. Nothing is recorded of one without shared parts.
  void RecordDispatch(const attempt_id& aAttempt,
                      const upstream_id& aUpstream,
                      const request_identities& aRequest,
                      time_point aNow);
  /// Records the head of a response that only an upstream that runs the request sends.
  void RecordHead(const attempt_id& aAttempt, time_point aNow);
  /// Records a part of the response behind its head. Returns the changes for other processes.
  suspicion_changes RecordData(const attempt_id& aAttempt, time_point aNow);
  /// Records that the response broke off or did not come. The attempt stays in flight until it is
  /// known whether its upstream has crashed. Returns the changes for other processes.
  suspicion_changes RecordLoss(const attempt_id& aAttempt, loss_kind aKind, time_point aNow);
  /// Records a complete response. Returns the changes for other processes.
  suspicion_changes RecordCompletion(const attempt_id& aAttempt, time_point aNow);
  /// Records that an attempt ended without a complete response while its upstream stayed alive.
  void RecordEnd(const attempt_id& aAttempt);
  /// Records the proved crash of an upstream. Returns the changes for other processes.
  suspicion_changes RecordCrash(const upstream_id& aUpstream, time_point aNow);
  /// Records that an upstream, last heard of at aHeardAt, is silent: it may have crashed. Counts
  /// this against the parts of its calls as a crash would. Returns the changes for other processes.
  suspicion_changes RecordSilence(const upstream_id& aUpstream,
                                  time_point aHeardAt,
                                  time_point aNow);
  /// Records that a silent upstream is heard again: withdraws what its silence counted. Returns the
  /// changes for other processes.
  suspicion_changes RecordSignOfLife(const upstream_id& aUpstream, time_point aNow);
  /// Applies messages of another process or from the store. Returns what follows from them.
  suspicion_changes Apply(const suspicion_changes& aMessages, time_point aNow);
  /// Counts crashes that have waited for kSettlingTime. Call at least a few times a second.
  suspicion_changes Settle(time_point aNow);

  /// Sets the live processes, which share kMaxPartNewsPerSecond and the trials of parts.
  void SetProcesses(const router_id& aSelf, const std::vector<router_id>& aLive);
  /// Returns what must outlast all processes.
  [[nodiscard]] suspicion_changes LastingEntries(time_point aNow) const
  {
    return mTable.LastingEntries(aNow);
  }
  [[nodiscard]] suspicion_counts Count(time_point aNow) const { return mTable.Count(aNow); }
  /// Drops expired entries; call about once a second.
  void Prune(time_point aNow);

private:
  struct running_attempt
  {
    upstream_id upstream;
    request_identities request;
    time_point sentAt;
    /// The first part in quarantine at the dispatch, which was a trial then; 0 when there was none.
    std::uint64_t triedPart = 0;
    /// Time of the response's head; nothing before it.
    std::optional<time_point> headAt;
    /// Time of the first part behind the head; nothing before it.
    std::optional<time_point> dataAt;
    bool sound = false;
    /// Time at which the response was lost; nothing while it was not.
    std::optional<time_point> lostAt;
    /// Weight of the crash in which the response was lost.
    std::uint32_t lossWeight = 0;
    /// The loss counts already.
    bool counted = false;
  };
  /// Silences of an upstream in one run.
  struct silence
  {
    /// Number of those after which it was heard again.
    std::uint32_t ended = 0;
    /// Parts that the present silence counts against.
    std::vector<std::uint64_t> parts;
    time_point changedAt;
  };
  /// A crash that does not count yet.
  struct settling_crash
  {
    peers::crash_message message;
    time_point at;
    /// Another process told it.
    bool received = false;
  };

  /// Returns how strongly a crash now speaks against the parts of a request; 0 for not at all.
  [[nodiscard]] static std::uint32_t CrashWeight(const running_attempt& aAttempt, time_point aNow);
  /// Records that a response goes on or has ended well.
  suspicion_changes RecordSound(running_attempt& aAttempt, time_point aNow);
  static void SetLost(running_attempt& aAttempt, loss_kind aKind, time_point aNow);
  /// Identifies the crash of an upstream's run. After a silence that was none, the next one is
  /// another.
  [[nodiscard]] std::uint64_t CrashOf(const upstream_id& aUpstream) const;
  /// Counts the crash of a lost attempt's upstream against the attempt's parts, once.
  suspicion_changes CountCrash(running_attempt& aAttempt, time_point aNow);
  /// Counts a crash against one part, at once or after kSettlingTime.
  suspicion_changes CountCrash(const peers::crash_message& aCrash, time_point aNow);
  void LetSettle(const settling_crash& aCrash);
  /// Adds a crash and drops the news of it if there are too many.
  suspicion_changes AddCrash(const peers::crash_message& aCrash, time_point aNow);
  suspicion_changes Apply(const peers::crash_message& aMessage, time_point aNow);

  /// Returns the parts in quarantine, in their order.
  [[nodiscard]] std::vector<std::uint64_t> Refused(const std::vector<std::uint64_t>& aParts,
                                                   time_point aNow) const;
  /// Returns whether this process tries requests with a part.
  [[nodiscard]] bool IsResponsible(std::uint64_t aPart) const;

  prompt_part_table mTable;
  part_trials mTrials;
  router_id mSelf;
  std::vector<router_id> mLive;
  std::unordered_map<attempt_id, running_attempt> mRunning;
  std::unordered_map<upstream_id, silence> mSilences;
  std::deque<settling_crash> mSettling;
  news_allowance mNews{ kMaxPartNewsAtOnce };
};

} // namespace persimmon::poison
