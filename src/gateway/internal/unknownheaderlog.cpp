#include "gateway/unknownheaderlog.h"

#include "base/text.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"

namespace persimmon::gateway {
namespace {

/// Names that are logged; an upstream that invents names does not fill the memory.
constexpr std::size_t kMaxLoggedNames = 64;

} // namespace

void
unknown_header_log::Record(const std::vector<std::string>& aNames, const instance_id& aUpstream)
{
  for (const std::string& name : aNames) {
    mMetrics.Count(kUnknownHeaders);
    if (mLogged.size() < kMaxLoggedNames && mLogged.insert(LowerCase(name)).second) {
      WriteLog(kUnknownHeader, { { "header", name }, { "upstream", aUpstream.value } });
    }
  }
}

} // namespace persimmon::gateway
