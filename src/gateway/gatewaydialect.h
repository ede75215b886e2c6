#pragma once

#include "assembly/engineorder.h"
#include "assembly/orderoutcome.h"
#include "base/json.h"
#include "dispatch/upstreamstatements.h"
#include "entry/serverrequest.h"
#include "fleet/enginereport.h"
#include "fleet/instance.h"
#include "gateway/incomingcall.h"
#include "gateway/responseinfo.h"
#include "gateway/upstreamtarget.h"
#include "platform/storedobject.h"
#include "platform/storeerror.h"
#include "platform/storerevision.h"
#include "routes/configuration.h"
#include "upstream/responsehead.h"
#include "upstream/upstreamcall.h"
#include "upstream/upstreamloop.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Receives the result of a store call, or nothing and the reason for its failure.
template<typename Result>
using store_callback =
  std::function<void(std::optional<Result> aResult, const platform::store_failure& aReason)>;

/// Called with the era of the store's first response, and when the store has come back from an
/// older copy. aFormer is empty the first time.
using era_handler =
  std::function<void(std::optional<platform::store_era> aFormer, platform::store_era aPresent)>;

/// Client of the platform's object store. Every callback runs on the event loop's thread.
template<typename Store>
concept cluster_store = requires(Store& aStore,
                                 const std::string& aKind,
                                 const platform::object_key& aKey,
                                 revision aFrom,
                                 duration aWait,
                                 const std::string& aValue,
                                 const platform::write_condition& aCondition)
{
  aStore.List(aKind, store_callback<platform::object_list>{});
  aStore.Watch(aKind, aFrom, aWait, store_callback<platform::object_changes>{});
  /// Reads an object; with true, the result may be some seconds old.
  aStore.Get(aKey, true, store_callback<platform::stored_object>{});
  /// Fails with unknown_outcome when the condition is of an earlier era than the response.
  aStore.Put(aKey, aValue, aCondition, store_callback<revision>{});
  aStore.SetEraHandler(era_handler{});
};

/// Translates between the gateway's types and the wire formats of callers, upstreams, engines and
/// the platform's store. The gateway itself contains no names of headers, paths or JSON fields of
/// the platform.
template<typename D>
concept gateway_dialect = cluster_store<typename D::store> &&
  requires(const entry::server_request& aRequest,
           const incoming_call& aCall,
           const upstream_target& aTarget,
           const upstream::response_head& aHead,
           const assembly::engine_order& aOrder,
           const fleet::instance& aInstance,
           const std::string& aText,
           int aStatus,
           duration aSpan,
           json_problem& aProblem)
{
  {
    D::ParseCall(aRequest)
    } -> std::same_as<incoming_call>;
  {
    D::BuildUpstreamCall(aRequest, aCall, aTarget)
    } -> std::same_as<upstream::upstream_call>;
  {
    D::ParseResponseHead(aHead, aCall)
    } -> std::same_as<response_info>;
  {
    D::ParseStatements(aHead)
    } -> std::same_as<dispatch::upstream_statements>;
  {
    D::EndToEndHeaders(aHead)
    } -> std::same_as<std::vector<entry::server_header>>;
  {
    D::RetryAfterHeaders(aSpan)
    } -> std::same_as<std::vector<entry::server_header>>;
  {
    D::BuildOrderCall(aOrder, aInstance)
    } -> std::same_as<upstream::upstream_call>;
  {
    D::OrderOutcomeFromStatus(aStatus)
    } -> std::same_as<assembly::order_outcome>;
  {
    D::BuildReportCall(aInstance)
    } -> std::same_as<upstream::upstream_call>;
  {
    D::ParseEngineReport(aText, aProblem)
    } -> std::same_as<std::optional<fleet::engine_report>>;
  {
    D::ParseConfiguration(aText, aProblem)
    } -> std::same_as<std::optional<routes::configuration>>;
  {
    D::ParseInstance(aText, aText, aProblem)
    } -> std::same_as<std::optional<fleet::instance>>;
};

} // namespace persimmon::gateway
