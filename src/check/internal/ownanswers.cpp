#include "check/checks.h"

#include <fmt/format.h>
#include <set>

namespace persimmon::check {
namespace {

/// Attempts whose result a call may be given: those of its request and those under its key.
std::set<std::string>
AttemptsFor(const run_history& aHistory, const history::event& aAnswer)
{
  std::set<std::string> attempts;
  if (!aAnswer.request.empty()) {
    const auto& own = aHistory.AttemptsOfRequest(aAnswer.request);
    attempts.insert(own.begin(), own.end());
  }
  if (!aAnswer.key.empty()) {
    const auto& keyed = aHistory.AttemptsOfKey(aAnswer.key);
    attempts.insert(keyed.begin(), keyed.end());
  }
  return attempts;
}

bool
HasBody(const attempt_events& aEvents, const std::string& aDigest)
{
  for (const recorded_event* started : aEvents.started) {
    if (!aDigest.empty() && !started->event.digest.empty() && started->event.digest != aDigest) {
      return false;
    }
  }
  return true;
}

struct answer_search
{
  bool found = false;
  /// What was completed instead.
  std::vector<const recorded_event*> others;
};

answer_search
Search(const run_history& aHistory, const recorded_event& aAnswer, const std::string& aBody)
{
  answer_search search;
  for (const std::string& attempt : AttemptsFor(aHistory, aAnswer.event)) {
    const attempt_events& events = aHistory.Attempts().at(attempt);
    for (const recorded_event* completed : events.completed) {
      const bool same = completed->event.digest == aAnswer.event.digest;
      search.found = search.found || (same && HasBody(events, aBody));
      search.others.push_back(completed);
    }
    search.others.insert(search.others.end(), events.started.begin(), events.started.end());
  }
  return search;
}

} // namespace

verdict
CheckOwnAnswers(const run_history& aHistory)
{
  verdict result{ promise::own_answers, 0, {} };
  for (const auto& [call, events] : aHistory.Calls()) {
    for (const recorded_event* end : events.ends) {
      if (end->event.kind != history::event_kind::answered) {
        continue;
      }
      ++result.checked;
      const std::string body = events.invoked != nullptr ? events.invoked->event.digest : "";
      answer_search search = Search(aHistory, *end, body);
      if (!search.found) {
        search.others.push_back(events.invoked);
        search.others.push_back(end);
        AddViolation(result,
                     fmt::format("call {} got an answer that no execution of it gave", call.second),
                     std::move(search.others));
      }
    }
  }
  return result;
}

} // namespace persimmon::check
