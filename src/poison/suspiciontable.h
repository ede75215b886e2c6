#pragma once

#include "poison/poisoncheck.h"
#include "poison/suspicionchanges.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace persimmon::poison {

/// Weight of a crash shortly after the request began to run.
constexpr std::uint32_t kEarlyCrashWeight = 2;
/// Weight of a crash of an upstream that had been running the request for a while, or that may have
/// crashed before it got the request.
constexpr std::uint32_t kLateCrashWeight = 1;
/// Weight from which a request is quarantined: three early crashes. Whatever else may have crashed
/// the upstreams, the request is not sent again.
constexpr std::uint32_t kQuarantineWeight = 3 * kEarlyCrashWeight;

/// Weight from which the crashes of a request are stored. Below it, routers that cannot reach each
/// other each miss at most one early crash of the others.
constexpr std::uint32_t kStoredWeight = 2 * kEarlyCrashWeight;

/// Time after a run to the end in which lost calls without a proved crash do not count: the request
/// is known to be harmless.
constexpr duration kAcquittalTime = 10_s;
/// Time for which a crash counts against the requests that were in flight.
constexpr duration kSuspectLifetime = 300_s;
/// Time for which a request is refused in its first quarantine.
constexpr duration kQuarantineLifetime = 600_s;
/// Factor by which each further quarantine of a request is longer than the one before.
constexpr std::int64_t kQuarantineGrowth = 6;
/// Longest quarantine.
constexpr duration kMaxQuarantineLifetime = 86400_s;
/// Time after a quarantine in which one more crash renews it.
constexpr duration kQuarantineMemory = 86400_s;
/// Maximum number of tracked fingerprints; above it, the oldest suspects are evicted first.
constexpr std::size_t kMaxSuspects = 4096;
/// Maximum number of crashes that are kept of one request; more do not change the verdict.
constexpr std::size_t kMaxCrashesPerRequest = 8;

/// Numbers of tracked requests.
struct suspicion_counts
{
  /// Requests with a crash that counts against them.
  std::size_t suspects = 0;
  std::size_t quarantined = 0;
};

/// What is known of the requests that may crash upstreams: for each request the crashes during
/// which it was in flight, from all routers, and its quarantine. Tables that have received the same
/// messages in any order agree. Does no I/O; the caller serialises calls.
class suspicion_table
{
public:
  /// Returns how a request may be dispatched.
  [[nodiscard]] poison_check Check(std::uint64_t aFingerprint, time_point aNow) const;
  /// Returns the sum of the weights of the crashes that count against a request.
  [[nodiscard]] std::uint32_t Weight(std::uint64_t aFingerprint, time_point aNow) const;
  /// Returns the sum of the weights of the proved crashes that nothing else explains, without
  /// aExcept.
  [[nodiscard]] std::uint32_t IsolatingWeight(std::uint64_t aFingerprint,
                                              std::uint64_t aExcept,
                                              time_point aNow) const;
  /// Returns whether the request has run to its end within kAcquittalTime. Known only of requests
  /// that a crash or a lost call counted against.
  [[nodiscard]] bool RanToItsEnd(std::uint64_t aFingerprint, time_point aNow) const;
  /// Returns whether the request was in a quarantine that has expired a limited time ago.
  [[nodiscard]] bool WasQuarantined(std::uint64_t aFingerprint, time_point aNow) const;

  /// Records a crash. Returns the changes for other routers, which include a quarantine when the
  /// crash gives cause for one.
  suspicion_changes AddCrash(const peers::crash_message& aCrash, time_point aNow);
  /// Quarantines a request that is not in quarantine.
  suspicion_changes Quarantine(std::uint64_t aFingerprint, time_point aNow);
  /// Records that a request ran to its end: the crashes so far no longer count against it, and its
  /// quarantine ends.
  suspicion_changes Clear(std::uint64_t aFingerprint, time_point aNow);

  /// Applies a message of another router or from the store. Returns the quarantine that follows
  /// from it, if any.
  suspicion_changes Apply(const peers::crash_message& aMessage, time_point aNow);
  void Apply(const peers::quarantine_message& aMessage, time_point aNow);

  /// Returns all that is known and has not expired, with its age.
  [[nodiscard]] suspicion_changes Entries(time_point aNow) const;
  /// Returns what must outlast all processes: the quarantines, and the crashes of requests that
  /// weigh at least kStoredWeight.
  [[nodiscard]] suspicion_changes LastingEntries(time_point aNow) const;
  [[nodiscard]] suspicion_counts Count(time_point aNow) const;
  /// Drops what has expired; call about once a second.
  void Prune(time_point aNow);

private:
  struct crash
  {
    std::uint64_t id = 0;
    std::uint32_t weight = 0;
    bool isolates = false;
    bool withdrawn = false;
    time_point at;
  };
  struct entry
  {
    std::vector<crash> crashes;
    /// Number of quarantines of the request; 0 for a mere suspect.
    std::uint32_t quarantineCount = 0;
    /// True when the latest quarantine was ended by a completed run.
    bool lifted = false;
    time_point quarantinedAt;
    /// Time at which the request last ran to its end; crashes until then do not count.
    time_point completedAt{ INT64_MIN / 2 };
    /// Position in mByAge.
    std::list<std::uint64_t>::iterator agePosition;
  };

  [[nodiscard]] static bool Counts(const crash& aCrash, time_point aNow);
  [[nodiscard]] static bool IsQuarantined(const entry& aEntry, time_point aNow);
  [[nodiscard]] static bool RemembersQuarantine(const entry& aEntry, time_point aNow);
  [[nodiscard]] static bool IsExpired(const entry& aEntry, time_point aNow);
  /// Adds what is known of one request and has not expired.
  static void AppendEntry(suspicion_changes& aTo,
                          std::uint64_t aFingerprint,
                          const entry& aEntry,
                          bool aWithCrashes,
                          time_point aNow);
  [[nodiscard]] const entry* Find(std::uint64_t aFingerprint) const;
  /// Returns the entry of a fingerprint, created if missing, as the newest.
  entry& Touch(std::uint64_t aFingerprint);
  /// Stores a crash, or adds to a known one what speaks more strongly against the request. Returns
  /// whether the entry changed.
  static bool Store(entry& aEntry, const crash& aCrash);
  /// Quarantines the request when its crashes give cause for it.
  suspicion_changes Judge(std::uint64_t aFingerprint, time_point aNow);
  /// Drops the oldest entry, preferably one that never was in quarantine.
  void Evict();
  void Remove(std::uint64_t aFingerprint);

  std::unordered_map<std::uint64_t, entry> mEntries;
  /// Fingerprints by the time of their last change, oldest first.
  std::list<std::uint64_t> mByAge;
};

/// Returns the length of the quarantine that is a request's aCount-th.
duration
QuarantineLifetime(std::uint32_t aCount);

} // namespace persimmon::poison
