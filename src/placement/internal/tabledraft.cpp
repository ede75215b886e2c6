#include "placement/internal/tabledraft.h"

#include <algorithm>

namespace persimmon::placement {

void
table_draft::LogDecision(const log_event& aEvent, const group& aGroup, std::string aDetail)
{
  mActions.emplace_back(log_decision{
    aEvent, mCurrent.domain.value, aGroup.id.value, aGroup.service.value, std::move(aDetail) });
}

const service_document*
table_draft::DocumentOf(const service_name& aService) const
{
  const auto found = mContext.documents.find(aService);
  return found == mContext.documents.end() ? nullptr : &found->second.document;
}

std::int64_t
table_draft::PriorityOf(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  return document == nullptr ? 0 : document->priority;
}

std::uint64_t
table_draft::DomainShare(const service_name& aService) const
{
  return ShareOf(mContext.plan, aService, mCurrent.domain);
}

std::uint64_t
table_draft::CountActiveGroups(const service_name& aService) const
{
  return static_cast<std::uint64_t>(
    std::count_if(mNext.groups.begin(), mNext.groups.end(), [&](const group& aGroup) {
      const bool stopping =
        aGroup.state == group_state::draining || ContainsGroup(mContext.plan.stops, aGroup.id);
      return aGroup.service == aService && !stopping;
    }));
}

time_point
table_draft::StateEnteredAt(const group& aGroup) const
{
  const auto found = mContext.transitions.find(aGroup.id);
  return found == mContext.transitions.end() ? mContext.now : found->second.enteredAt;
}

bool
table_draft::HasAllMembers(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  const auto size = static_cast<std::int64_t>(aGroup.members.size());
  return document == nullptr || size == document->capacity.instancesPerReplica;
}

std::vector<const service_document*>
table_draft::ServicesByPriority() const
{
  std::vector<const service_document*> documents;
  for (const auto& [name, entry] : mContext.documents) {
    if (entry.document.kind == service_kind::model && !entry.document.retired) {
      documents.push_back(&entry.document);
    }
  }
  std::stable_sort(documents.begin(), documents.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->priority > aRight->priority;
  });
  return documents;
}

} // namespace persimmon::placement
