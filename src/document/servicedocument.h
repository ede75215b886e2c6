#pragma once

#include "base/failurereason.h"
#include "base/ids.h"
#include "base/json.h"
#include "document/callrule.h"
#include "document/capacityspec.h"
#include "document/customerspec.h"
#include "document/limitsspec.h"
#include "document/modelspec.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Kind of a service; determines where its upstreams come from.
enum class service_kind
{
  /// Replicas of a model, which the placer assigns to instances.
  model,
  /// A plain HTTP service; its upstreams are in the platform's instance list.
  plain
};

/// Desired configuration of one service.
struct service_document
{
  service_name service;
  service_kind kind = service_kind::model;
  model_spec model;
  capacity_spec capacity;
  limits_spec limits;
  /// Services with a higher priority get instances first when there are too few.
  std::int64_t priority = 0;
  std::vector<customer_spec> customers;
  std::vector<call_rule> calls;
  /// A retired service is shut down; older versions of its document cannot reactivate it.
  bool retired = false;

  bool operator==(const service_document&) const = default;
};

/// Why a document is rejected.
enum class document_error
{
  none,
  not_json,
  /// A member is missing, unknown or duplicate, or its type or value is invalid.
  bad_member
};

using document_reason = failure_reason<document_error>;

/// Parses and validates a document. On failure, returns an empty result and sets aReason to the
/// path of the member, the value found and the value expected.
std::optional<service_document>
ParseServiceDocument(std::string_view aText, document_reason& aReason);

/// Renders the document as JSON with sorted members; parsing the result yields an equal document.
std::string
RenderServiceDocument(const service_document& aDocument);

/// Returns one line for each member that differs, in the form `path: before -> after`.
std::vector<std::string>
CompareServiceDocuments(const service_document& aBefore, const service_document& aAfter);

/// Returns whether a call to this service is idempotent, so that it may be repeated.
bool
IsIdempotentCall(const service_document& aDocument,
                 std::string_view aMethod,
                 std::string_view aPath);

} // namespace persimmon
