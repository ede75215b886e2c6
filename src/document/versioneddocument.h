#pragma once

#include "base/ids.h"
#include "document/servicedocument.h"

namespace persimmon {

/// A document together with the platform's revision that accepted it.
struct versioned_document
{
  revision version;
  service_document document;
};

} // namespace persimmon
