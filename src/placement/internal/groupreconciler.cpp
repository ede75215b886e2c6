#include "placement/internal/groupreconciler.h"

#include "placement/internal/groupformation.h"
#include "placement/internal/grouplifecycle.h"

namespace persimmon::placement {

group_reconciler::group_reconciler(const reconcile_context& aContext,
                                   const domain_table& aTable,
                                   placement_actions& aActions)
  : mDraft(aContext, aTable, aActions)
{
}

domain_table
group_reconciler::Reconcile()
{
  const reconcile_context& context = mDraft.Context();
  group_lifecycle lifecycle(mDraft);
  group_formation formation(mDraft);
  std::erase_if(mDraft.Next().groups, [&](group& aGroup) { return !lifecycle.Advance(aGroup); });
  formation.DropExcess();
  formation.RefillIncomplete();
  formation.DropExpiredIncomplete();
  formation.FormMissing();
  AdvanceGenerations();
  mDraft.Next().absent = context.members.UnavailableInstances(context.now);
  return mDraft.Next();
}

void
group_reconciler::AdvanceGenerations()
{
  for (group& entry : mDraft.Next().groups) {
    for (const group& before : mDraft.Current().groups) {
      const bool changed = before.members != entry.members || before.model != entry.model;
      if (before.id == entry.id && changed) {
        entry.version = before.version.Next();
      }
    }
  }
}

} // namespace persimmon::placement
