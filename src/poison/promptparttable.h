#pragma once

#include "poison/poisoncheck.h"
#include "poison/soundparts.h"
#include "poison/suspicionchanges.h"
#include "poison/suspiciontable.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace persimmon::poison {

/// Time after the begin of a sound response for which crashes don't count against its parts:
/// several times what a response needs to prove sound. A part that turns harmful is noticed so much
/// later.
constexpr duration kSoundMargin = 600_ms;
/// Most parts with a crash or a quarantine that are remembered; requests have a table of their own.
constexpr std::size_t kMaxSuspectParts = 1024;
/// Most crashes that are kept of one part: they explain those of other parts.
constexpr std::size_t kMaxCrashesPerPart = 64;
/// Most quarantines of parts that outlast all processes.
constexpr std::size_t kMaxLastingParts = 64;

/// What is known of the parts of prompts that may crash upstreams. Each part is judged by the
/// crashes that no other part with more of them, or as many that weigh more, explains: a part that
/// stands in all requests, or in the others that a crash ended, has few of its own. Tables that
/// have received the same messages and have seen the same sound responses agree. Does no I/O; the
/// caller serialises calls.
class prompt_part_table
{
public:
  /// Returns how a request with a part may be dispatched.
  [[nodiscard]] poison_check Check(std::uint64_t aPart, time_point aNow) const;
  /// Returns whether a sound response with the part shows that a crash at aAt had another cause.
  [[nodiscard]] bool IsVoid(std::uint64_t aPart, time_point aAt, time_point aNow) const;
  /// Returns whether sound responses with the part are remembered.
  [[nodiscard]] bool WasSound(std::uint64_t aPart, time_point aNow) const;
  /// Returns whether a sound response with the part is known of the last kSoundHistory.
  [[nodiscard]] bool HasSoundHistory(std::uint64_t aPart, time_point aNow) const
  {
    return mSound.HasHistory(aPart, aNow);
  }
  /// Returns the weight of the crashes that count against a part, explained ones included.
  [[nodiscard]] std::uint32_t WeightOf(std::uint64_t aPart, time_point aNow) const;
  /// Returns whether a part in quarantine explains a crash.
  [[nodiscard]] bool IsExplained(std::uint64_t aCrash) const { return mExplained.contains(aCrash); }
  /// Returns whether a part that was in quarantine before a crash explains it.
  [[nodiscard]] bool WasExpected(std::uint64_t aCrash) const { return mExpected.contains(aCrash); }

  /// Records a crash of the aCrash.age before aNow. Returns the changes for other processes.
  suspicion_changes AddCrash(const peers::crash_message& aCrash, time_point aNow);
  /// Notes that a crash was not told to other processes: neither is its withdrawal.
  void KeepToItself(const peers::crash_message& aCrash);
  /// Records a sound response that began at aBegunAt: crashes until kSoundMargin later don't count,
  /// and a quarantine since then, or one that rests on such crashes, ends.
  suspicion_changes RecordSound(std::uint64_t aPart, time_point aBegunAt, time_point aNow);
  /// Withdraws a crash of a part: it was none. Returns the changes for other processes.
  suspicion_changes Withdraw(std::uint64_t aPart, std::uint64_t aCrash, time_point aNow);
  /// Applies a message of another process or from the store. Returns what follows from it.
  suspicion_changes Apply(const peers::crash_message& aMessage, time_point aNow);
  suspicion_changes Apply(const peers::quarantine_message& aMessage, time_point aNow);

  /// Returns the newest kMaxLastingParts quarantines, which must outlast all processes.
  [[nodiscard]] suspicion_changes LastingEntries(time_point aNow) const;
  [[nodiscard]] suspicion_counts Count(time_point aNow) const;
  /// Drops what has expired; call about once a second.
  void Prune(time_point aNow);

private:
  struct crash
  {
    std::uint64_t id = 0;
    std::uint32_t weight = 0;
    bool withdrawn = false;
    time_point at;
    /// False when no other process knows of it.
    bool told = true;
  };
  struct entry
  {
    std::vector<crash> crashes;
    /// Number of quarantines; 0 for a mere suspect.
    std::uint32_t quarantineCount = 0;
    /// True when a sound response has ended the latest quarantine.
    bool lifted = false;
    /// True while parts with more crashes explain the quarantine, which then has no effect.
    bool explained = false;
    time_point quarantinedAt;
    /// Position in mByAge.
    std::list<std::uint64_t>::iterator agePosition;
  };
  /// A part with the number and the weight of all crashes that count against it.
  struct standing
  {
    std::uint64_t part = 0;
    std::size_t crashes = 0;
    std::uint32_t weight = 0;
  };

  [[nodiscard]] static bool Counts(const crash& aCrash, time_point aNow);
  [[nodiscard]] static bool InQuarantine(const entry& aEntry, time_point aNow);
  [[nodiscard]] static bool RemembersQuarantine(const entry& aEntry, time_point aNow);
  [[nodiscard]] static bool IsExpired(const entry& aEntry, time_point aNow);
  /// Returns the weight of the crashes that count.
  [[nodiscard]] static std::uint32_t Weight(const entry& aEntry, time_point aNow);
  /// Returns the weight of the crashes that count and that nothing explains.
  [[nodiscard]] std::uint32_t OwnWeight(const entry& aEntry, time_point aNow) const;
  /// Returns the parts that crashes count against and that may be in quarantine now or then, those
  /// with most crashes first, and most weight first among these. The number comes first: a harmful
  /// part may end its upstreams before the response begins, which weighs less than other responses
  /// that had just begun there.
  [[nodiscard]] std::vector<standing> Standings(time_point aNow) const;
  /// Stores a crash. Returns whether the entry changed.
  static bool Store(entry& aEntry, const crash& aCrash);
  /// Judges all parts anew: quarantines those with enough crashes of their own.
  suspicion_changes Judge(time_point aNow);
  /// Judges one part. Returns whether it is in quarantine and explains its crashes.
  bool JudgePart(const standing& aStanding, suspicion_changes& aChanges, time_point aNow);
  void Quarantine(std::uint64_t aPart, suspicion_changes& aChanges, time_point aNow);
  /// Returns whether a part is in a quarantine that rests on crashes which have been withdrawn
  /// since its crashes weighed aWeightBefore: what is left gives no cause for it.
  [[nodiscard]] static bool IsUnfounded(const entry& aEntry,
                                        std::uint32_t aWeightBefore,
                                        time_point aNow);
  /// Withdraws a crash and adds the news of it if other processes know of the crash.
  static void Withdraw(std::uint64_t aPart,
                       crash& aCrash,
                       suspicion_changes& aChanges,
                       time_point aNow);
  /// Ends the quarantine of a part.
  static void Lift(std::uint64_t aPart,
                   entry& aEntry,
                   suspicion_changes& aChanges,
                   time_point aNow);
  /// Returns the entry of a part, created if missing, as the newest.
  entry& Touch(std::uint64_t aPart);
  void Evict();
  void Remove(std::uint64_t aPart);

  sound_parts mSound;
  std::unordered_map<std::uint64_t, entry> mEntries;
  /// Parts by the time of their last change, oldest first.
  std::list<std::uint64_t> mByAge;
  /// Crashes that parts in quarantine explain.
  std::unordered_set<std::uint64_t> mExplained;
  /// Those of them that came later than the quarantine, from calls that were in flight then.
  std::unordered_set<std::uint64_t> mExpected;
};

} // namespace persimmon::poison
