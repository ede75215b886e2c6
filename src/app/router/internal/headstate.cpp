#include "app/router/headstate.h"

#include "base/json.h"

#include <algorithm>
#include <unordered_map>

namespace persimmon::router {
namespace {

constexpr std::int64_t kMaxCount = 1000000;

struct heard_member
{
  incarnation life;
  generation version;
  duration heard;
  bool serves = false;
};

/// A member that drains is present: it finishes what it runs and refuses the rest by itself.
bool
Serves(const std::string& aState)
{
  return aState == "ready" || aState == "draining";
}

using heard_members = std::unordered_map<instance_id, heard_member>;

std::uint64_t
Counter(json_reader& aReader, const char* aName)
{
  return static_cast<std::uint64_t>(aReader.NumberOr(aName, 0, INT64_MAX, 0));
}

heard_members
ReadMembers(json_reader& aReader, json_problem& aProblem)
{
  heard_members members;
  for (const nlohmann::json& value : aReader.List("members")) {
    json_reader entry(value, "$.members", aProblem);
    entry.AllowUnknown();
    heard_member member;
    const instance_id instance{ entry.Text("instance") };
    member.life.value = Counter(entry, "incarnation");
    member.version.value = Counter(entry, "generation");
    member.heard.ms = entry.NumberOr("heard_ms", 0, INT64_MAX, 0);
    member.serves = Serves(entry.TextOr("state", ""));
    members.emplace(instance, member);
  }
  return members;
}

bool
IsPresent(const placement::group& aGroup,
          const placement::group_member& aMember,
          const heard_members& aHeard)
{
  const auto found = aHeard.find(aMember.instance);
  return found != aHeard.end() && found->second.serves &&
         found->second.life == aMember.incarnationId && found->second.version == aGroup.version;
}

duration
OldestHeard(const heard_members& aHeard)
{
  duration oldest;
  for (const auto& [instance, member] : aHeard) {
    oldest = std::max(oldest, member.heard);
  }
  return oldest;
}

} // namespace

std::optional<peers::presence_message>
ObserveGroup(const placement::group& aGroup,
             std::string_view aState,
             const router_id& aObserver,
             std::string& aProblem)
{
  json_problem problem;
  const auto value = ParseJson(aState, problem);
  if (!value) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  json_reader reader(*value, "$", problem);
  reader.AllowUnknown();
  const bool serves = Serves(reader.TextOr("state", ""));
  const bool sameGroup = reader.TextOr("group", "") == aGroup.id.value &&
                         Counter(reader, "generation") == aGroup.version.value;
  const heard_members heard = ReadMembers(reader, problem);
  peers::presence_message observed;
  observed.group = aGroup.id;
  observed.version = aGroup.version;
  observed.observer = aObserver;
  observed.age = OldestHeard(heard);
  observed.running = static_cast<std::uint32_t>(reader.NumberOr("running", 0, kMaxCount, 0));
  observed.queued = static_cast<std::uint32_t>(reader.NumberOr("queued", 0, kMaxCount, 0));
  if (!reader.Finish()) {
    aProblem = problem.Text();
    return std::nullopt;
  }
  observed.complete = serves && sameGroup &&
                      std::all_of(aGroup.members.begin(),
                                  aGroup.members.end(),
                                  [&](const placement::group_member& aMember) {
                                    return IsPresent(aGroup, aMember, heard);
                                  });
  if (!observed.complete) {
    // What is wrong is seen now, however long ago the members were heard.
    observed.age = {};
  }
  return observed;
}

} // namespace persimmon::router
