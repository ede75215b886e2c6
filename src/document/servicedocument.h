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

enum class service_kind
{
  /// Replicas of a model, placed on instances by the system.
  model,
  /// A plain HTTP service whose upstreams the platform's instance list names.
  plain
};

/// What a team wants of one service.
struct service_document
{
  service_name service;
  service_kind kind = service_kind::model;
  model_spec model;
  capacity_spec capacity;
  limits_spec limits;
  /// Higher goes first when instances are short.
  std::int64_t priority = 0;
  std::vector<customer_spec> customers;
  std::vector<call_rule> calls;
  /// A retired service is wound down and never comes back under older versions.
  bool retired = false;

  bool operator==(const service_document&) const = default;
};

enum class document_error
{
  none,
  not_json,
  bad_member
};

using document_reason = failure_reason<document_error>;

/// Parses and validates a document. On failure aReason names the path of the member, what was
/// found there and what was expected.
std::optional<service_document>
ParseServiceDocument(std::string_view aText, document_reason& aReason);

/// Returns the document as JSON with sorted members; parsing it gives the same document again.
std::string
RenderServiceDocument(const service_document& aDocument);

/// Returns one line for each member that differs, `path: before -> after`.
std::vector<std::string>
CompareServiceDocuments(const service_document& aBefore, const service_document& aAfter);

/// Tells whether a call to this service may be repeated.
bool
IsIdempotentCall(const service_document& aDocument,
                 std::string_view aMethod,
                 std::string_view aPath);

} // namespace persimmon
