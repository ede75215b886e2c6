#include "entry/internal/requestframing.h"

#include "base/messageframing.h"

namespace persimmon::entry {

std::string_view
FindFramingFault(const std::vector<server_header>& aHeaders)
{
  message_framing framing;
  for (const server_header& header : aHeaders) {
    const std::string_view fault = framing.Add(header.name, header.value);
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

} // namespace persimmon::entry
