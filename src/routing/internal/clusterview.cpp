#include "routing/clusterview.h"

#include <algorithm>
#include <utility>

namespace persimmon::routing {
namespace {

/// Time for which an observation is kept, to compare it with observations that arrive late.
constexpr duration kObservationRetention = 10_s;
/// Time since it was last received after which a leaving mark is dropped, once no domain table or
/// instance list contains the instance.
constexpr duration kLeavingMarkRetention = 3600_s;

bool
HasMember(const placement::group& aGroup, const instance_id& aInstance)
{
  return std::any_of(aGroup.members.begin(), aGroup.members.end(), [&](const auto& aMember) {
    return aMember.instance == aInstance;
  });
}

std::shared_ptr<const upstream>
MakeUpstream(const placement::group& aGroup)
{
  auto result = std::make_shared<upstream>();
  result->id.value = aGroup.id.value;
  result->service = aGroup.service;
  result->zone = aGroup.zone;
  result->group = aGroup.id;
  result->generation = aGroup.version;
  result->model = aGroup.model;
  if (!aGroup.members.empty()) {
    result->address = aGroup.members.front().address;
    result->incarnationId = aGroup.members.front().incarnationId;
  }
  for (const placement::group_member& member : aGroup.members) {
    result->members.push_back(member.instance);
  }
  return result;
}

} // namespace

std::size_t
service_view::EligibleCount(time_point aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(candidates.begin(), candidates.end(), [&](const candidate& aCandidate) {
      return aCandidate.IneligibilityAt(aNow) == ineligibility::none;
    }));
}

std::uint64_t
service_view::ReportedLoad() const
{
  std::uint64_t sum = 0;
  for (const candidate& current : candidates) {
    sum += std::uint64_t{ current.load.running } + current.load.queued;
  }
  return sum;
}

view_change
cluster_view::Malformed(std::string aReason)
{
  mLastReason = std::move(aReason);
  return view_change::malformed;
}

view_change
cluster_view::Apply(const peers::document_message& aDocument, time_point /*aNow*/)
{
  const auto known = mDocuments.find(aDocument.service);
  if (known != mDocuments.end() && aDocument.version <= known->second->version) {
    return view_change::none;
  }
  auto entry = std::make_shared<versioned_document>();
  if (aDocument.text.empty()) {
    if (known != mDocuments.end()) {
      entry->document = known->second->document;
    }
    entry->document.service = aDocument.service;
    entry->document.retired = true;
  } else {
    document_reason why;
    std::optional<service_document> parsed = ParseServiceDocument(aDocument.text, why);
    if (!parsed) {
      return Malformed(why.detail);
    }
    if (parsed->service != aDocument.service) {
      return Malformed("$.service: found \"" + parsed->service.value + "\", expected \"" +
                       aDocument.service.value + '"');
    }
    entry->document = std::move(*parsed);
  }
  entry->version = aDocument.version;
  mDocuments[aDocument.service] = std::move(entry);
  mViews.erase(aDocument.service);
  return view_change::eligibility;
}

view_change
cluster_view::Apply(const peers::table_message& aTable, time_point /*aNow*/)
{
  const auto known = mTables.find(aTable.domain);
  if (known != mTables.end() && aTable.version <= known->second.version) {
    return view_change::none;
  }
  table_entry entry;
  entry.version = aTable.version;
  entry.table.domain = aTable.domain;
  if (!aTable.text.empty()) {
    placement::table_reason why;
    std::optional<placement::domain_table> parsed = placement::ParseDomainTable(aTable.text, why);
    if (!parsed) {
      return Malformed(why.detail);
    }
    if (parsed->domain != aTable.domain) {
      return Malformed("$.domain: found \"" + parsed->domain.value + "\", expected \"" +
                       aTable.domain.value + '"');
    }
    entry.table = std::move(*parsed);
  }
  if (known != mTables.end()) {
    Invalidate(known->second.table);
    for (const placement::group& group : known->second.table.groups) {
      mDomainOfGroup.erase(group.id);
    }
  }
  Invalidate(entry.table);
  for (const placement::group& group : entry.table.groups) {
    mDomainOfGroup[group.id] = aTable.domain;
  }
  mTables[aTable.domain] = std::move(entry);
  return view_change::eligibility;
}

view_change
cluster_view::Apply(const peers::presence_message& aPresence, time_point aNow)
{
  const time_point observedAt = aNow - aPresence.age;
  if (observedAt + kObservationRetention < aNow) {
    return view_change::none;
  }
  const placement::group* group = FindGroup(aPresence.group);
  const ineligibility before =
    group == nullptr ? ineligibility::none : Evaluate(*group).IneligibilityAt(aNow);
  std::vector<observation>& all = mObservations[aPresence.group];
  auto known = std::find_if(all.begin(), all.end(), [&](const observation& aOther) {
    return aOther.observer == aPresence.observer;
  });
  if (known == all.end()) {
    known = all.emplace(all.end());
    known->observer = aPresence.observer;
  } else if (known->observedAt >= observedAt) {
    return view_change::none;
  }
  known->version = aPresence.version;
  known->observedAt = observedAt;
  known->complete = aPresence.complete;
  known->running = aPresence.running;
  known->queued = aPresence.queued;
  if (group == nullptr) {
    return view_change::none;
  }
  mViews.erase(group->service);
  return Evaluate(*group).IneligibilityAt(aNow) == before ? view_change::load
                                                          : view_change::eligibility;
}

view_change
cluster_view::Apply(const peers::leaving_message& aLeaving, time_point aNow)
{
  return MarkLeaving(aLeaving.instance, aLeaving.incarnationId, aNow) ? view_change::eligibility
                                                                      : view_change::none;
}

view_change
cluster_view::Apply(const std::vector<platform::listed_instance>& aList, time_point aNow)
{
  bool changed = false;
  std::unordered_map<instance_id, platform::listed_instance> instances;
  for (const platform::listed_instance& instance : aList) {
    if (instance.leaving) {
      changed = MarkLeaving(instance.id, instance.incarnation, aNow) || changed;
    }
    instances[instance.id] = instance;
  }
  if (instances == mInstances) {
    return changed ? view_change::eligibility : view_change::none;
  }
  mInstances = std::move(instances);
  mViews.clear();
  return view_change::eligibility;
}

bool
cluster_view::MarkLeaving(const instance_id& aInstance, incarnation aIncarnation, time_point aNow)
{
  const auto known = mLeaving.find(aInstance);
  if (known != mLeaving.end() && known->second.incarnationId >= aIncarnation) {
    known->second.markedAt = aNow;
    return false;
  }
  mLeaving[aInstance] = leaving_mark{ aIncarnation, aNow };
  InvalidateServicesWith(aInstance);
  return true;
}

void
cluster_view::Invalidate(const placement::domain_table& aTable)
{
  for (const placement::group& group : aTable.groups) {
    mViews.erase(group.service);
  }
}

void
cluster_view::InvalidateServicesWith(const instance_id& aInstance)
{
  for (const auto& [name, entry] : mTables) {
    for (const placement::group& group : entry.table.groups) {
      if (HasMember(group, aInstance)) {
        mViews.erase(group.service);
      }
    }
  }
  const auto listed = mInstances.find(aInstance);
  if (listed != mInstances.end()) {
    mViews.erase(listed->second.service);
  }
}

void
cluster_view::Prune(time_point aNow)
{
  for (auto entry = mObservations.begin(); entry != mObservations.end();) {
    std::erase_if(entry->second, [&](const observation& aOther) {
      return aOther.observedAt + kObservationRetention < aNow;
    });
    entry = entry->second.empty() ? mObservations.erase(entry) : std::next(entry);
  }
  std::set<instance_id> namedInTables;
  for (const auto& [name, entry] : mTables) {
    for (const placement::group& group : entry.table.groups) {
      for (const placement::group_member& member : group.members) {
        namedInTables.insert(member.instance);
      }
    }
  }
  std::erase_if(mLeaving, [&](const auto& aMark) {
    const bool known = namedInTables.contains(aMark.first) || mInstances.contains(aMark.first);
    return !known && aMark.second.markedAt + kLeavingMarkRetention < aNow;
  });
}

bool
cluster_view::IsLeaving(const instance_id& aInstance, incarnation aIncarnation) const
{
  const auto mark = mLeaving.find(aInstance);
  return mark != mLeaving.end() && mark->second.incarnationId >= aIncarnation;
}

const placement::group*
cluster_view::FindGroup(const group_id& aGroup) const
{
  const auto domain = mDomainOfGroup.find(aGroup);
  if (domain == mDomainOfGroup.end()) {
    return nullptr;
  }
  const std::vector<placement::group>& groups = mTables.at(domain->second).table.groups;
  const auto found = std::find_if(
    groups.begin(), groups.end(), [&](const auto& aOther) { return aOther.id == aGroup; });
  return found == groups.end() ? nullptr : &*found;
}

ineligibility
cluster_view::CheckMembers(const placement::group& aGroup) const
{
  for (const placement::group_member& member : aGroup.members) {
    if (IsLeaving(member.instance, member.incarnationId)) {
      return ineligibility::member_leaving;
    }
    const auto listed = mInstances.find(member.instance);
    if (listed != mInstances.end() && listed->second.incarnation > member.incarnationId) {
      return ineligibility::member_restarted;
    }
  }
  return ineligibility::none;
}

const cluster_view::observation*
cluster_view::NewestObservation(const placement::group& aGroup) const
{
  const auto all = mObservations.find(aGroup.id);
  if (all == mObservations.end()) {
    return nullptr;
  }
  const observation* newest = nullptr;
  for (const observation& current : all->second) {
    if (current.version < aGroup.version) {
      continue;
    }
    const bool later = newest == nullptr || current.observedAt > newest->observedAt ||
                       (current.observedAt == newest->observedAt && !current.complete);
    if (later) {
      newest = &current;
    }
  }
  return newest;
}

candidate
cluster_view::Evaluate(const placement::group& aGroup) const
{
  candidate result;
  result.evidenceExpiresAt = time_point{ INT64_MIN };
  const observation* newest = NewestObservation(aGroup);
  if (newest != nullptr) {
    result.load = load_report{ newest->running, newest->queued, newest->observedAt };
    result.evidenceExpiresAt = newest->observedAt + kEvidenceLifetime;
  }
  if (aGroup.state != placement::group_state::serving || aGroup.members.empty()) {
    result.why = ineligibility::not_serving;
  } else if (const ineligibility members = CheckMembers(aGroup); members != ineligibility::none) {
    result.why = members;
  } else if (newest == nullptr) {
    result.why = ineligibility::never_observed;
  } else if (newest->version > aGroup.version) {
    result.why = ineligibility::generation_superseded;
  } else if (!newest->complete) {
    result.why = ineligibility::members_mismatch;
  }
  return result;
}

candidate
cluster_view::Evaluate(const platform::listed_instance& aInstance) const
{
  candidate result;
  auto target = std::make_shared<upstream>();
  target->id.value = aInstance.id.value;
  target->service = aInstance.service;
  target->address = aInstance.address;
  target->zone = aInstance.zone;
  target->incarnationId = aInstance.incarnation;
  target->members = { aInstance.id };
  result.target = std::move(target);
  if (IsLeaving(aInstance.id, aInstance.incarnation)) {
    result.why = ineligibility::member_leaving;
  }
  return result;
}

std::shared_ptr<const service_view>
cluster_view::BuildServiceView(const service_name& aService) const
{
  auto view = std::make_shared<service_view>();
  view->routers = RouterCount();
  const auto document = mDocuments.find(aService);
  if (document != mDocuments.end()) {
    view->document = document->second;
  }
  for (const auto& [name, entry] : mTables) {
    for (const placement::group& group : entry.table.groups) {
      if (group.service == aService) {
        view->candidates.push_back(Evaluate(group));
        view->candidates.back().target = MakeUpstream(group);
      }
    }
  }
  for (const auto& [id, instance] : mInstances) {
    if (instance.service == aService && !instance.isInternal) {
      view->candidates.push_back(Evaluate(instance));
    }
  }
  std::sort(view->candidates.begin(),
            view->candidates.end(),
            [](const candidate& aLeft, const candidate& aRight) {
              return aLeft.target->id < aRight.target->id;
            });
  return view;
}

std::shared_ptr<const service_view>
cluster_view::Service(const service_name& aService)
{
  const auto known = mViews.find(aService);
  if (known != mViews.end()) {
    return known->second;
  }
  std::shared_ptr<const service_view> view = BuildServiceView(aService);
  if (mDocuments.contains(aService)) {
    mViews[aService] = view;
  }
  return view;
}

std::vector<service_name>
cluster_view::Services() const
{
  std::vector<service_name> result;
  for (const auto& [name, document] : mDocuments) {
    result.push_back(name);
  }
  return result;
}

std::vector<placement::group>
cluster_view::Groups() const
{
  std::vector<placement::group> result;
  for (const auto& [name, entry] : mTables) {
    result.insert(result.end(), entry.table.groups.begin(), entry.table.groups.end());
  }
  return result;
}

std::vector<peers::leaving_message>
cluster_view::LeavingInstances() const
{
  std::vector<peers::leaving_message> result;
  for (const auto& [instance, mark] : mLeaving) {
    result.push_back({ instance, mark.incarnationId });
  }
  return result;
}

std::size_t
cluster_view::RouterCount() const
{
  const auto count = std::count_if(mInstances.begin(), mInstances.end(), [](const auto& aEntry) {
    return aEntry.second.isInternal && !aEntry.second.leaving;
  });
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, count));
}

std::vector<peers::applied_message>
cluster_view::AppliedRevisions(const router_id& aSelf) const
{
  using object_kind = peers::applied_message::object_kind;
  std::vector<peers::applied_message> result;
  for (const auto& [name, document] : mDocuments) {
    result.push_back({ aSelf, object_kind::document, name.value, document->version });
  }
  for (const auto& [name, entry] : mTables) {
    result.push_back({ aSelf, object_kind::table, name.value, entry.version });
  }
  return result;
}

} // namespace persimmon::routing
