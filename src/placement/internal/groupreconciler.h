#pragma once

#include "placement/internal/tabledraft.h"

namespace persimmon::placement {

/// Computes the next version of a domain's table from the current one.
class group_reconciler
{
public:
  group_reconciler(const reconcile_context& aContext,
                   const domain_table& aTable,
                   placement_actions& aActions);

  /// Returns the next table; equal to the current one when nothing has to change.
  domain_table Reconcile();

private:
  /// Gives each group whose members or model changed a new generation.
  void AdvanceGenerations();

  table_draft mDraft;
};

} // namespace persimmon::placement
