#pragma once

#include "base/clock.h"
#include "document/servicedocument.h"
#include "peers/messages.h"
#include "routing/admissionaction.h"
#include "routing/admissionrequest.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace persimmon::routing {

/// How long another router's shares count as its present use.
constexpr duration kShareLifetime = 3_s;
/// How long a silent router is still assumed to use its part of the capacity.
constexpr duration kRouterLifetime = 30_s;

/// Admits one service's requests at one router: as many at once as the upstreams can run, fairly
/// by the customers' weights over all routers. A customer may use what others leave idle. What
/// cannot start waits in a bounded queue; what could not start before its deadline is refused at
/// once. Pure; the caller serialises calls.
///
/// Each router may always use its part of the capacity, and of the idle rest as much as each other
/// router. A router that falls silent keeps its part for kRouterLifetime.
class admission
{
public:
  admission(router_id aSelf, service_name aService);

  /// Sets the limits and customers of a document. Requests of customers that were removed go on.
  void SetDocument(const service_document& aDocument);
  /// Sets how many upstreams are eligible.
  std::vector<admission_action> SetUpstreams(std::size_t aCount, time_point aNow);

  /// A request asks to start. The actions may refuse another one that gives way to it.
  std::vector<admission_action> Arrive(const admission_request& aRequest, time_point aNow);
  /// A request that was started has ended, in whatever way.
  std::vector<admission_action> Finish(const request_id& aRequest, time_point aNow);
  /// The caller of a waiting or running request has left.
  std::vector<admission_action> Leave(const request_id& aRequest, time_point aNow);
  /// Refuses what has waited too long and starts what can; call about ten times a second.
  std::vector<admission_action> Tick(time_point aNow);

  /// Takes in the use at another router.
  void Apply(const peers::share_message& aShare, time_point aNow);
  /// Use at this router by each of the document's customers, for the mesh.
  [[nodiscard]] std::vector<peers::share_message> Shares() const;

  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }
  [[nodiscard]] std::size_t Waiting() const { return mWaitingCount; }
  /// Requests that this router may run at once.
  [[nodiscard]] std::size_t Limit(time_point aNow) const;

private:
  struct waiting_request
  {
    admission_request request;
    time_point arrivedAt;
    std::uint64_t serial = 0;
  };
  struct goes_before
  {
    bool operator()(const waiting_request& aLeft, const waiting_request& aRight) const;
  };
  struct customer_state
  {
    std::int64_t weight = 0;
    std::uint32_t running = 0;
    std::set<waiting_request, goes_before> queue;
  };
  struct remote_use
  {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    time_point at;
  };
  struct remote_router
  {
    time_point heardAt;
    std::map<customer_name, remote_use> customers;
  };

  void Start(const waiting_request& aRequest, time_point aNow, std::vector<admission_action>& aOut);
  void Refuse(const waiting_request& aRequest,
              admission_verdict aVerdict,
              time_point aNow,
              std::vector<admission_action>& aOut);
  void Enqueue(const waiting_request& aRequest,
               time_point aNow,
               std::vector<admission_action>& aOut);
  void MakeRoom(const customer_name& aFor, time_point aNow, std::vector<admission_action>& aOut);
  void StartWaiting(time_point aNow, std::vector<admission_action>& aOut);
  void RefuseExpired(time_point aNow, std::vector<admission_action>& aOut);
  [[nodiscard]] std::map<customer_name, customer_state>::iterator NextCustomer(time_point aNow);
  [[nodiscard]] double UseOf(const customer_name& aCustomer, time_point aNow) const;
  [[nodiscard]] duration EstimateWait(const admission_request& aRequest, time_point aNow) const;
  void NoteEnd(time_point aNow);
  void ReviewLimit(time_point aNow);

  router_id mSelf;
  service_name mService;
  limits_spec mLimits;
  std::size_t mUpstreams = 0;
  std::map<customer_name, customer_state> mCustomers;
  std::unordered_map<request_id, customer_name> mRunning;
  std::unordered_map<request_id, customer_name> mWaiting;
  std::size_t mWaitingCount = 0;
  std::map<router_id, remote_router> mRemotes;
  std::uint64_t mNextSerial = 1;
  /// Requests that end in a second, smoothed.
  double mEndsPerSecond = 0;
  time_point mLastEnd{ INT64_MIN };
  std::size_t mLimit = 0;
};

} // namespace persimmon::routing
