#include "ledger/beginresult.h"

namespace persimmon::ledger {

const char*
VerdictName(begin_verdict aVerdict)
{
  switch (aVerdict) {
    case begin_verdict::granted:
      return "granted";
    case begin_verdict::done:
      return "done";
    case begin_verdict::in_progress:
      return "in_progress";
    case begin_verdict::unknown:
      return "unknown";
    case begin_verdict::key_conflict:
      return "key_conflict";
    case begin_verdict::bad_key:
      return "bad_key";
    case begin_verdict::key_too_old:
      return "key_too_old";
    case begin_verdict::key_in_future:
      return "key_in_future";
    case begin_verdict::full:
      return "full";
    case begin_verdict::overloaded:
      return "overloaded";
    case begin_verdict::store_unavailable:
      return "store_unavailable";
  }
  return "unknown";
}

} // namespace persimmon::ledger
