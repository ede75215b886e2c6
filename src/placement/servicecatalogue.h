#pragma once

#include "document/versioneddocument.h"

#include <map>

namespace persimmon::placement {

/// Newest valid document of each service.
using service_catalogue = std::map<service_name, versioned_document>;

} // namespace persimmon::placement
