#include "check/checks.h"
#include "placement/domaintable.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::check {
namespace {

constexpr std::string_view kTablePrefix = "domain/";

/// Where an instance stands in the accepted tables.
struct table_place
{
  std::string group;
  const recorded_event* accepted = nullptr;
};

/// The newest accepted tables, taken in the order of their revisions.
class accepted_tables
{
public:
  explicit accepted_tables(verdict& aVerdict)
    : mVerdict(aVerdict)
  {
  }

  void Take(const recorded_event& aAccepted)
  {
    std::erase_if(mPlaces, [&](const auto& aEntry) {
      return aEntry.second.accepted->event.object == aAccepted.event.object;
    });
    if (aAccepted.event.detail.empty()) {
      return;
    }
    placement::table_reason why;
    const auto table = placement::ParseDomainTable(aAccepted.event.detail, why);
    if (!table) {
      AddViolation(mVerdict, "a table cannot stand: " + why.detail, { &aAccepted });
      return;
    }
    for (const placement::group& group : table->groups) {
      TakeGroup(group, aAccepted);
    }
  }

private:
  void TakeGroup(const placement::group& aGroup, const recorded_event& aAccepted)
  {
    for (const placement::group_member& member : aGroup.members) {
      ++mVerdict.checked;
      const auto [place, isFree] =
        mPlaces.try_emplace(member.instance.value, table_place{ aGroup.id.value, &aAccepted });
      if (!isFree) {
        AddViolation(mVerdict,
                     fmt::format("instance {} is in groups {} and {}",
                                 member.instance.value,
                                 place->second.group,
                                 aGroup.id.value),
                     { place->second.accepted, &aAccepted });
      }
    }
  }

  verdict& mVerdict;
  std::map<std::string, table_place> mPlaces;
};

void
CheckTables(const run_history& aHistory, verdict& aVerdict)
{
  std::vector<const recorded_event*> tables;
  for (const recorded_event* accepted : aHistory.OfKind(history::event_kind::accepted)) {
    if (accepted->event.object.starts_with(kTablePrefix)) {
      tables.push_back(accepted);
    }
  }
  std::stable_sort(
    tables.begin(), tables.end(), [](const recorded_event* aLeft, const recorded_event* aRight) {
      return aLeft->event.revision < aRight->event.revision;
    });
  accepted_tables newest(aVerdict);
  for (const recorded_event* table : tables) {
    newest.Take(*table);
  }
}

/// One request that an instance helped to run.
struct member_use
{
  time_point at;
  group_version group;
  const recorded_event* started = nullptr;
};

/// Finds a group that worked on after another that shares the instance had begun to work.
void
CheckUses(const std::string& aInstance, std::vector<member_use>& aUses, verdict& aVerdict)
{
  std::stable_sort(
    aUses.begin(), aUses.end(), [](const member_use& aLeft, const member_use& aRight) {
      return aLeft.at < aRight.at;
    });
  std::map<group_version, const recorded_event*> successors;
  for (std::size_t index = 1; index < aUses.size(); ++index) {
    const member_use& before = aUses[index - 1];
    const member_use& now = aUses[index];
    if (now.group.group == before.group.group) {
      continue;
    }
    successors.try_emplace(before.group, now.started);
    const auto successor = successors.find(now.group);
    if (successor != successors.end()) {
      AddViolation(aVerdict,
                   fmt::format("instance {} works for {} again after it has worked for {}",
                               aInstance,
                               now.group.group,
                               successor->second->event.group),
                   { successor->second, now.started });
    }
  }
}

} // namespace

verdict
CheckSingleMembership(const run_history& aHistory)
{
  verdict result{ promise::single_membership, 0, {} };
  CheckTables(aHistory, result);
  std::map<std::string, std::vector<member_use>> uses;
  for (const recorded_event* started : aHistory.OfKind(history::event_kind::started)) {
    const group_version group{ started->event.group, started->event.generation };
    for (const instance_life& member : aHistory.Members(group)) {
      uses[member.instance].push_back({ aHistory.SentAt(*started), group, started });
    }
  }
  for (auto& [instance, usesOfInstance] : uses) {
    CheckUses(instance, usesOfInstance, result);
  }
  return result;
}

} // namespace persimmon::check
