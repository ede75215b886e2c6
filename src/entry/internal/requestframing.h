#pragma once

#include "entry/serverrequest.h"

#include <string_view>
#include <vector>

namespace persimmon::entry {

/// Returns why the headers of a request leave its framing in doubt, so that other software may take
/// its bytes for another request (RFC 9112, 5.1 and 6.3); empty when they do not. For faults that
/// the HTTP parser lets pass.
std::string_view
FindFramingFault(const std::vector<server_header>& aHeaders);

} // namespace persimmon::entry
