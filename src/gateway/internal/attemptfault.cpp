#include "gateway/attemptfault.h"

namespace persimmon::gateway {

std::optional<fleet::fault_evidence>
FindAttemptFault(const sent_group& aSentTo,
                 const fleet::instance* aRegistered,
                 std::optional<fleet::fault_evidence> aMark)
{
  const bool hasChanged =
    aRegistered != nullptr &&
    (aRegistered->incarnationId > aSentTo.headIncarnation ||
     (aRegistered->membership && aRegistered->membership->epoch > aSentTo.epoch));
  return hasChanged ? fleet::fault_evidence::silence : aMark;
}

} // namespace persimmon::gateway
