#pragma once

#include "placement/internal/reconcilecontext.h"
#include "placement/placementmessages.h"

#include <string>
#include <vector>

namespace persimmon::placement {

/// The next version of a domain's table while it is being computed from the current one, and what
/// is known of its groups.
class table_draft
{
public:
  table_draft(const reconcile_context& aContext,
              const domain_table& aCurrent,
              placement_actions& aActions)
    : mContext(aContext)
    , mCurrent(aCurrent)
    , mNext(aCurrent)
    , mActions(aActions)
  {
  }

  [[nodiscard]] const reconcile_context& Context() const { return mContext; }
  [[nodiscard]] const domain_table& Current() const { return mCurrent; }
  [[nodiscard]] domain_table& Next() { return mNext; }
  [[nodiscard]] const domain_table& Next() const { return mNext; }

  /// Returns the document of a service; nullptr when there is none.
  [[nodiscard]] const service_document* DocumentOf(const service_name& aService) const;
  [[nodiscard]] std::int64_t PriorityOf(const group& aGroup) const;
  /// Returns the documents of the models that are not retired, highest priority first.
  [[nodiscard]] std::vector<const service_document*> ServicesByPriority() const;
  /// Returns the number of groups of a service that are neither draining nor to be stopped.
  [[nodiscard]] std::uint64_t CountActiveGroups(const service_name& aService) const;
  /// Returns the number of groups of a service that the plan gives to the domain.
  [[nodiscard]] std::uint64_t DomainShare(const service_name& aService) const;
  /// Returns when a group entered its state; now for a new group.
  [[nodiscard]] time_point StateEnteredAt(const group& aGroup) const;
  [[nodiscard]] bool HasAllMembers(const group& aGroup) const;
  void LogDecision(const log_event& aEvent, const group& aGroup, std::string aDetail = {});

private:
  const reconcile_context& mContext;
  const domain_table& mCurrent;
  domain_table mNext;
  placement_actions& mActions;
};

} // namespace persimmon::placement
