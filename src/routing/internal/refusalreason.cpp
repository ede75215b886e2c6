#include "routing/refusalreason.h"

namespace persimmon::routing {
namespace {

constexpr bool
EntriesMatchEnumeration()
{
  for (std::size_t i = 0; i < kRefusals.size(); ++i) {
    if (static_cast<std::size_t>(kRefusals[i].reason) != i) {
      return false;
    }
  }
  return true;
}

static_assert(EntriesMatchEnumeration());

} // namespace

const refusal_entry&
RefusalEntryFor(refusal_reason aReason)
{
  return kRefusals[static_cast<std::size_t>(aReason)];
}

} // namespace persimmon::routing
