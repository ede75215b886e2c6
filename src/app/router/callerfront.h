#pragma once

#include "app/router/callparser.h"
#include "app/router/clusterboard.h"
#include "app/router/exchangecontext.h"
#include "app/router/readiness.h"
#include "entry/responder.h"
#include "entry/serverrequest.h"
#include "upstream/upstreamclient.h"

#include <atomic>
#include <memory>
#include <string>

namespace persimmon::router {

/// Answers what callers and operators ask of the router; requests for services become exchanges.
class caller_front
{
public:
  caller_front(zone_name aZone,
               std::size_t aMaxBodyBytes,
               cluster_board& aBoard,
               const readiness& aReadiness,
               upstream::upstream_client& aUpstreams,
               exchange_context& aContext);

  void Handle(entry::server_request aRequest, std::shared_ptr<entry::responder> aResponder);

private:
  /// Answers the pages of operators; false when the path is none of them.
  bool HandlePage(const entry::server_request& aRequest, entry::responder& aResponder);
  void HandleCall(entry::server_request aRequest, std::shared_ptr<entry::responder> aResponder);
  void Refuse(const call_problem& aProblem,
              const entry::server_request& aRequest,
              entry::responder& aResponder);
  void SendModels(const entry::server_request& aRequest, entry::responder& aResponder);
  void SendStatus(entry::responder& aResponder);
  void SendExplanation(const std::string& aRequest, entry::responder& aResponder);
  request_id NextRequestId();

  zone_name mZone;
  cluster_board& mBoard;
  const readiness& mReadiness;
  upstream::upstream_client& mUpstreams;
  exchange_context& mContext;
  call_parser mParser;
  /// Keeps the requests of one life of a router apart from those of the next.
  std::string mLife;
  std::atomic<std::uint64_t> mLastRequest{ 0 };
};

} // namespace persimmon::router
