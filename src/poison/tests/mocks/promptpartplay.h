#pragma once

#include "base/random.h"
#include "poison/promptparttracker.h"

#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace persimmon::poison {

/// The part that stands first in every request of a play.
constexpr std::uint64_t kPopularPart = 1;
/// The parts that crash upstreams are numbered from here.
constexpr std::uint64_t kFirstPoisonPart = 1000;
/// The parts that only one request has are numbered from here.
constexpr std::uint64_t kFirstMadeUpPart = 1000000;
/// The sound parts that some requests have are numbered from here.
constexpr std::uint64_t kFirstRarePart = 2000;

/// What a play is about. Requests come at a constant rate, at any process. Each has the popular
/// part, perhaps a rare sound one, and perhaps one that crashes the upstream 30 to 70 ms after the
/// begin of the response; its lost calls are sent once more.
struct part_play_setup
{
  std::size_t processes = 9;
  double requestsPerSecond = 120;
  /// Upstreams; each takes callsPerUpstream calls at once.
  std::size_t upstreams = 24;
  std::size_t callsPerUpstream = 17;
  /// Share of the requests with a part that crashes upstreams, from poisonFrom on.
  double poisonShare = 0.1;
  std::size_t poisonParts = 1;
  time_point poisonFrom{ 12000 };
  /// Requests with the parts come before that too, and do no harm.
  bool partsAreSoundBefore = false;
  /// Part of the requests that have one of the rare parts, and the number of these.
  double rareShare = 0.5;
  std::size_t rareParts = 10;
  /// Number of parts of each request that no other request of the play has.
  std::size_t madeUpParts = 0;
  /// A restarted upstream takes calls again after this time.
  duration restart = 4_s;
  /// Time between deaths of upstreams for other causes; none when zero.
  duration otherDeaths{};
  /// Time in which each response ends its upstream, whichever parts its request has; none when
  /// zero.
  time_point outageFrom{ 12000 };
  duration outageTime{};
  /// True when upstreams crash before the harmful response begins.
  bool crashesBeforeHead = false;
  /// True when an upstream that crashes falls silent: its calls break off nowhere, and it comes
  /// back after restart as another one.
  bool crashesAreSilent = false;
  /// Time between silences of single upstreams, each for silenceTime, after which they go on; none
  /// when zero.
  duration soundSilences{};
  duration silenceTime = 1500_ms;
  /// Time from which all upstreams are silent for allSilentTime at once; none when zero.
  time_point allSilentFrom{ 12000 };
  duration allSilentTime{};
  /// Time from which the first process alone reaches no upstream for cutOffTime; none when zero.
  /// The others hear its news.
  time_point cutOffFrom{ 12000 };
  duration cutOffTime{};
  /// Sound requests count from here on, or later.
  time_point soundFrom{};
  /// News reach the other processes after a time between these, and all after the longest with
  /// newsAlwaysLate.
  duration shortestNews = 50_ms;
  duration longestNews = 1500_ms;
  bool newsAlwaysLate = true;
  /// False when only quarantines reach the others, as by the store.
  bool tellsCrashes = true;
  duration end = 40_s;
  /// False to show what happens without the trackers.
  bool refuses = true;
};

/// What a play showed.
struct part_play_result
{
  std::size_t crashes = 0;
  /// Arrivals of harmful requests later than 3 s after the fifth crash.
  std::size_t laterArrivals = 0;
  /// Sound requests from 6 s after the fifth crash on, or after the last when there are fewer, and
  /// those of them that were sent at once.
  std::size_t soundRequests = 0;
  std::size_t soundSent = 0;
  /// The same before poisonFrom.
  std::size_t soundRequestsBefore = 0;
  std::size_t soundSentBefore = 0;
  /// Sound requests that were refused over the whole play.
  std::size_t soundRefused = 0;
  /// Longest time for which one process refused a sound part.
  duration longestWrongVerdict;
  /// News that the processes told, without repetitions.
  std::size_t news = 0;
  /// Most news in one second.
  std::size_t mostNewsInASecond = 0;

  /// Part of the sound requests that were sent at once, compared to before.
  [[nodiscard]] double SoundShare() const
  {
    const double now = static_cast<double>(soundSent) / static_cast<double>(soundRequests);
    const double before =
      static_cast<double>(soundSentBefore) / static_cast<double>(soundRequestsBefore);
    return now / before;
  }
};

/// Plays callers and upstreams against the trackers of all processes, in steps of 10 ms.
class prompt_part_play
{
public:
  prompt_part_play(const part_play_setup& aSetup, std::uint64_t aSeed);
  part_play_result Run();

private:
  struct request
  {
    std::uint64_t number = 0;
    std::size_t process = 0;
    std::vector<std::uint64_t> parts;
    bool harmful = false;
    bool repeated = false;
  };
  struct call
  {
    request origin;
    attempt_id attempt;
    std::size_t upstream = 0;
    time_point headAt;
    time_point nextData;
    time_point end;
    bool hasHead = false;
    bool endsUpstream = false;
    /// Sent to a second upstream as well.
    bool doubled = false;
  };
  struct upstream
  {
    std::size_t life = 0;
    time_point upFrom;
    std::size_t calls = 0;
    /// It sends nothing until then, and starts again then if it has crashed.
    time_point silentUntil;
    bool crashedSilently = false;
    /// A process has found it silent.
    bool avoided = false;
  };
  /// What one process finds out of one run of an upstream: that it is silent, or heard again.
  struct finding
  {
    std::size_t process = 0;
    std::size_t upstream = 0;
    std::size_t life = 0;
  };
  struct news
  {
    std::size_t from = 0;
    time_point told;
    suspicion_changes changes;
  };

  void DeliverNews();
  void Publish(std::size_t aFrom, suspicion_changes aChanges);
  /// Returns whether other processes have not heard of it.
  template<typename Message>
  bool IsNew(const Message& aMessage, std::uint64_t aCrash);
  void BringRequests();
  void Arrive(const request& aRequest);
  void Send(const request& aRequest, std::size_t aUpstream);
  [[nodiscard]] bool InOutage() const;
  /// Returns an upstream with room; the number of upstreams when there is none.
  std::size_t PickUpstream();
  void Progress();
  void ProgressOf(call& aCall);
  void KillOthers();
  void Crash(std::size_t aUpstream);
  [[nodiscard]] upstream_id LifeOf(std::size_t aUpstream) const;
  [[nodiscard]] bool IsSilent(std::size_t aUpstream) const
  {
    return mNow < mUpstreams[aUpstream].silentUntil;
  }
  /// Returns whether a process reaches no upstream.
  [[nodiscard]] bool IsCutOff(std::size_t aProcess) const
  {
    return aProcess == 0 && mSetup.cutOffFrom <= mNow &&
           mNow < mSetup.cutOffFrom + mSetup.cutOffTime;
  }
  void BeginSilence(std::size_t aUpstream, duration aTime);
  void BeginCutOff();
  void SilenceOthers();
  /// Tells processes that upstreams are silent or heard again, and starts those that have crashed.
  void ProgressSilences();
  void OnFoundSilent(const finding& aFinding);
  void EndSilence(std::size_t aUpstream);
  void NoteVerdicts();

  part_play_setup mSetup;
  random_source mRandom;
  std::vector<prompt_part_tracker> mTrackers;
  std::vector<upstream> mUpstreams;
  std::vector<call> mCalls;
  std::vector<request> mToRepeat;
  std::multimap<time_point, news> mNews;
  std::multimap<time_point, finding> mSilencesToFind;
  std::multimap<time_point, finding> mSignsOfLife;
  /// When a process last received something from an upstream.
  std::map<std::pair<std::size_t, std::size_t>, time_point> mHeardAt;
  std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>> mKnownNews;
  std::map<std::int64_t, std::size_t> mNewsBySecond;
  /// Since when a process refuses a sound part.
  std::map<std::pair<std::size_t, std::uint64_t>, time_point> mWrongSince;
  std::vector<time_point> mCrashes;
  std::vector<time_point> mHarmfulArrivals;
  /// Time of each sound request, and whether it was sent at once.
  std::vector<std::pair<time_point, bool>> mSound;
  part_play_result mResult;
  double mDueRequests = 0;
  std::uint64_t mLastAttempt = 0;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mNextMadeUpPart = kFirstMadeUpPart;
  std::size_t mNextUpstream = 0;
  time_point mNow;
};

} // namespace persimmon::poison
