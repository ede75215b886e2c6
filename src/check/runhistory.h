#pragma once

#include "base/ids.h"
#include "check/recordedevent.h"
#include "check/timespans.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmon::check {

/// All events of one attempt.
struct attempt_events
{
  std::vector<const recorded_event*> attempted;
  std::vector<const recorded_event*> started;
  std::vector<const recorded_event*> completed;
};

/// All events of one sending by the load tool.
struct call_events
{
  const recorded_event* invoked = nullptr;
  std::vector<const recorded_event*> ends;
};

/// A version of a group.
struct group_version
{
  std::string group;
  std::uint64_t generation = 0;

  auto operator<=>(const group_version&) const = default;
};

/// An instance in one of its lives; 0 stands for an unknown life.
struct instance_life
{
  std::string instance;
  std::uint64_t incarnation = 0;

  auto operator<=>(const instance_life&) const = default;
};

/// The events of a run in the order of time, with what the checkers look up in them. It cannot be
/// copied, since its parts point into it.
class run_history
{
public:
  explicit run_history(std::vector<recorded_event> aEvents);
  run_history(const run_history&) = delete;
  run_history& operator=(const run_history&) = delete;
  run_history(run_history&&) noexcept = default;
  run_history& operator=(run_history&&) noexcept = default;

  [[nodiscard]] const std::vector<recorded_event>& Events() const { return mEvents; }
  [[nodiscard]] const std::vector<const recorded_event*>& OfKind(history::event_kind aKind) const;
  [[nodiscard]] const std::map<std::string, attempt_events>& Attempts() const { return mAttempts; }
  /// Sendings by file and call id.
  [[nodiscard]] const std::map<std::pair<std::string, std::string>, call_events>& Calls() const
  {
    return mCalls;
  }
  /// Ids of the attempts of a request.
  [[nodiscard]] const std::vector<std::string>& AttemptsOfRequest(const std::string& aId) const;
  /// Ids of the attempts under an idempotency key.
  [[nodiscard]] const std::vector<std::string>& AttemptsOfKey(const std::string& aKey) const;
  /// Returns the first `attempted` event of an execution's attempt, or nullptr.
  [[nodiscard]] const recorded_event* Dispatch(const recorded_event& aStarted) const;
  /// Returns when an execution was sent on its way: by the router if that is known.
  [[nodiscard]] time_point SentAt(const recorded_event& aStarted) const;
  /// Members of a group's version, by its table or by what its instances reported.
  [[nodiscard]] const std::vector<instance_life>& Members(const group_version& aGroup) const;
  /// Returns when a fault was in force on a process or instance, or on all.
  [[nodiscard]] time_spans Faults(std::string_view aName, const std::string& aSubject) const;
  [[nodiscard]] time_point End() const { return mEnd; }

private:
  void Index(const recorded_event& aRecorded);
  void IndexTable(const recorded_event& aAccepted);
  void IndexMembership(const recorded_event& aMembership);
  void IndexFault(const recorded_event& aFault);

  std::vector<recorded_event> mEvents;
  std::map<history::event_kind, std::vector<const recorded_event*>> mByKind;
  std::map<std::string, attempt_events> mAttempts;
  std::map<std::pair<std::string, std::string>, call_events> mCalls;
  std::map<std::string, std::vector<std::string>> mByRequest;
  std::map<std::string, std::vector<std::string>> mByKey;
  std::map<group_version, std::vector<instance_life>> mTableMembers;
  std::map<group_version, std::vector<instance_life>> mReportedMembers;
  /// By name and subject; an open span ends with the history.
  std::map<std::pair<std::string, std::string>, time_spans> mFaults;
  time_point mEnd;
};

} // namespace persimmon::check
