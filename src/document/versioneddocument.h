#pragma once

#include "base/ids.h"
#include "document/servicedocument.h"

namespace persimmon {

/// A document and the revision that the platform assigned when it accepted the document.
struct versioned_document
{
  revision version;
  service_document document;
};

} // namespace persimmon
