#pragma once

#include "app/router/callproblem.h"
#include "app/router/parsedcall.h"
#include "entry/serverrequest.h"

#include <functional>
#include <memory>
#include <optional>

namespace persimmon::router {

/// Finds a service; null when the router knows none of that name.
using service_lookup = std::function<std::shared_ptr<service_shard>(const service_name&)>;

/// Checks a caller's request and finds its service and customer. An empty result comes with the
/// problem to refuse it with. Pure but for the lookup.
class call_parser
{
public:
  call_parser(service_lookup aLookup, std::size_t aMaxBodyBytes);

  std::optional<parsed_call> Parse(const entry::server_request& aRequest,
                                   call_problem& aProblem) const;

private:
  [[nodiscard]] bool FindService(const service_name& aName,
                                 service_kind aKind,
                                 parsed_call& aCall,
                                 call_problem& aProblem) const;
  [[nodiscard]] bool ParseCompletion(const entry::server_request& aRequest,
                                     parsed_call& aCall,
                                     call_problem& aProblem) const;
  [[nodiscard]] bool ParsePlain(const entry::server_request& aRequest,
                                parsed_call& aCall,
                                call_problem& aProblem) const;

  service_lookup mLookup;
  std::size_t mMaxBodyBytes;
};

/// Returns the bearer key of a request, empty when it has none.
std::string
BearerKey(const entry::server_request& aRequest);

/// Tells whether a request names a key under which a call may have run.
bool
HasUsableKey(const entry::server_request& aRequest);

/// Returns the document's customer whose key this is, or nullptr.
const customer_spec*
FindCustomer(const service_document& aDocument, const std::string& aBearerKey);

} // namespace persimmon::router
