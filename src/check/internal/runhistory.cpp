#include "check/runhistory.h"

#include "check/historyreader.h"
#include "placement/domaintable.h"

#include <algorithm>

namespace persimmon::check {
namespace {

using history::event_kind;

constexpr std::string_view kTablePrefix = "domain/";
constexpr std::string_view kBegin = "begin ";
constexpr std::string_view kEnd = "end ";
constexpr time_point kNever{ INT64_MAX };

template<typename Map, typename Key>
const typename Map::mapped_type&
FindOrEmpty(const Map& aMap, const Key& aKey)
{
  static const typename Map::mapped_type kEmpty{};
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? kEmpty : found->second;
}

void
AddOnce(std::vector<std::string>& aList, const std::string& aValue)
{
  if (std::find(aList.begin(), aList.end(), aValue) == aList.end()) {
    aList.push_back(aValue);
  }
}

} // namespace

run_history::run_history(std::vector<recorded_event> aEvents)
  : mEvents(std::move(aEvents))
{
  SortByTime(mEvents);
  for (const recorded_event& recorded : mEvents) {
    Index(recorded);
  }
  mEnd = mEvents.empty() ? time_point{} : mEvents.back().event.at;
}

void
run_history::Index(const recorded_event& aRecorded)
{
  const history::event& event = aRecorded.event;
  mByKind[event.kind].push_back(&aRecorded);
  switch (event.kind) {
    case event_kind::invoked:
      mCalls[{ aRecorded.file, event.call }].invoked = &aRecorded;
      break;
    case event_kind::answered:
    case event_kind::refused:
      mCalls[{ aRecorded.file, event.call }].ends.push_back(&aRecorded);
      break;
    case event_kind::attempted:
      mAttempts[event.attempt].attempted.push_back(&aRecorded);
      AddOnce(mByRequest[event.request], event.attempt);
      if (!event.key.empty()) {
        AddOnce(mByKey[event.key], event.attempt);
      }
      break;
    case event_kind::started:
      mAttempts[event.attempt].started.push_back(&aRecorded);
      if (!event.key.empty()) {
        AddOnce(mByKey[event.key], event.attempt);
      }
      break;
    case event_kind::completed:
      mAttempts[event.attempt].completed.push_back(&aRecorded);
      break;
    case event_kind::accepted:
      IndexTable(aRecorded);
      break;
    case event_kind::membership:
      IndexMembership(aRecorded);
      break;
    case event_kind::fault:
      IndexFault(aRecorded);
      break;
    default:
      break;
  }
}

void
run_history::IndexTable(const recorded_event& aAccepted)
{
  if (!aAccepted.event.object.starts_with(kTablePrefix) || aAccepted.event.detail.empty()) {
    return;
  }
  placement::table_reason why;
  const auto table = placement::ParseDomainTable(aAccepted.event.detail, why);
  if (!table) {
    return;
  }
  for (const placement::group& group : table->groups) {
    std::vector<instance_life> members;
    for (const placement::group_member& member : group.members) {
      members.push_back({ member.instance.value, member.incarnationId.value });
    }
    mTableMembers[{ group.id.value, group.version.value }] = std::move(members);
  }
}

void
run_history::IndexMembership(const recorded_event& aMembership)
{
  const history::event& event = aMembership.event;
  if (event.group.empty() || event.members.empty()) {
    return;
  }
  std::vector<instance_life> members;
  for (const std::string& member : event.members) {
    members.push_back({ member, 0 });
  }
  mReportedMembers[{ event.group, event.generation }] = std::move(members);
}

void
run_history::IndexFault(const recorded_event& aFault)
{
  const history::event& event = aFault.event;
  const std::string_view detail = event.detail;
  if (detail.starts_with(kBegin)) {
    const std::string name(detail.substr(kBegin.size()));
    time_spans& spans = mFaults[{ name, event.instance }];
    if (spans.empty() || spans.back().to != kNever) {
      spans.push_back({ event.at, kNever });
    }
  } else if (detail.starts_with(kEnd)) {
    const std::string name(detail.substr(kEnd.size()));
    time_spans& spans = mFaults[{ name, event.instance }];
    if (!spans.empty() && spans.back().to == kNever) {
      spans.back().to = event.at;
    }
  }
}

const std::vector<const recorded_event*>&
run_history::OfKind(history::event_kind aKind) const
{
  return FindOrEmpty(mByKind, aKind);
}

const std::vector<std::string>&
run_history::AttemptsOfRequest(const std::string& aId) const
{
  return FindOrEmpty(mByRequest, aId);
}

const std::vector<std::string>&
run_history::AttemptsOfKey(const std::string& aKey) const
{
  return FindOrEmpty(mByKey, aKey);
}

const recorded_event*
run_history::Dispatch(const recorded_event& aStarted) const
{
  const auto found = mAttempts.find(aStarted.event.attempt);
  const bool known = found != mAttempts.end() && !found->second.attempted.empty();
  return known ? found->second.attempted.front() : nullptr;
}

time_point
run_history::SentAt(const recorded_event& aStarted) const
{
  const recorded_event* dispatch = Dispatch(aStarted);
  return dispatch != nullptr ? std::min(dispatch->event.at, aStarted.event.at) : aStarted.event.at;
}

const std::vector<instance_life>&
run_history::Members(const group_version& aGroup) const
{
  const auto& members = FindOrEmpty(mTableMembers, aGroup);
  return members.empty() ? FindOrEmpty(mReportedMembers, aGroup) : members;
}

time_spans
run_history::Faults(std::string_view aName, const std::string& aSubject) const
{
  const std::string name(aName);
  const time_spans& ofAll = FindOrEmpty(mFaults, std::pair(name, std::string()));
  return Union(FindOrEmpty(mFaults, std::pair(name, aSubject)), ofAll);
}

} // namespace persimmon::check
