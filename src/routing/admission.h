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
#include <utility>
#include <vector>

namespace persimmon::routing {

/// Time for which a share message counts as the current use at the router that sent it.
constexpr duration kShareLifetime = 3_s;
/// Time after its last share message until a router is no longer counted. Routers that
/// SetRouterCount() includes are counted regardless.
constexpr duration kRouterLifetime = 30_s;
/// Time for which an observed load is used.
constexpr duration kObservedLoadLifetime = 5_s;

/// Admission control for one service at one router. Limits the requests in flight to what the
/// upstreams can run and divides that capacity between the customers by weight, over all routers;
/// a customer may use capacity that others leave idle. Requests that cannot start wait in a bounded
/// queue; a request that would not start before its deadline is refused at once. Does no I/O; the
/// caller serialises calls.
///
/// Each router may always use an equal part of the capacity, plus an equal part of what is idle. A
/// router that sends no share messages is assumed to use its whole part, unless the load that
/// the upstreams report shows that it uses less. A failed mesh can therefore neither overload the
/// upstreams nor keep the only remaining router from using them.
class admission
{
public:
  admission(router_id aSelf, service_name aService);

  /// Applies the limits and customers of a document. Running and waiting requests of customers that
  /// were removed continue.
  void SetDocument(const service_document& aDocument);
  /// Sets the number of routers, this one included, from a source that does not depend on the mesh,
  /// such as the instance list. The count is higher when more routers have sent share messages.
  void SetRouterCount(std::size_t aCount) { mRouterCount = aCount; }
  /// Sets the number of requests, running and queued, that all upstreams report.
  void SetObservedLoad(std::uint64_t aRequests, time_point aNow);
  /// Sets the number of eligible upstreams.
  std::vector<admission_action> SetUpstreams(std::size_t aCount, time_point aNow);

  /// Starts, queues or refuses a new request. The actions may also refuse a queued request that the
  /// new one displaces; they are empty when the request was queued without displacing another.
  std::vector<admission_action> Submit(const admission_request& aRequest, time_point aNow);
  /// Records that a started request ended, whatever its outcome; starts waiting requests.
  std::vector<admission_action> Finish(const request_id& aRequest, time_point aNow);
  /// Removes a waiting or running request whose caller disconnected.
  std::vector<admission_action> Cancel(const request_id& aRequest, time_point aNow);
  /// Refuses waiting requests that can no longer meet their deadline and starts those that fit the
  /// limit; call about ten times a second.
  std::vector<admission_action> Tick(time_point aNow);

  /// Records a customer's use at another router; ignores messages older than the last.
  void Apply(const peers::customer_load_message& aShare, time_point aNow);
  /// Returns the use at this router by each customer, to be sent over the mesh.
  [[nodiscard]] std::vector<peers::customer_load_message> LocalShares() const;

  [[nodiscard]] std::size_t Running() const { return mRunning.size(); }
  [[nodiscard]] std::size_t Waiting() const { return mWaiting.size(); }
  /// Returns the number of requests that this router may run at once.
  [[nodiscard]] std::size_t Limit() const { return mLimit; }

private:
  struct waiting_request
  {
    admission_request request;
    time_point arrivedAt;
    /// Order of arrival at this router.
    std::uint64_t sequence = 0;
  };
  struct dispatch_order
  {
    bool operator()(const waiting_request& aLeft, const waiting_request& aRight) const;
  };
  using waiting_queue = std::set<waiting_request, dispatch_order>;
  struct customer_state
  {
    /// 0 for a customer that is no longer in the document.
    std::int64_t weight = 0;
    std::uint32_t running = 0;
    /// Requests running at other routers, by their last share messages.
    std::uint32_t runningElsewhere = 0;
    waiting_queue queue;
  };
  using customer_map = std::map<customer_name, customer_state>;
  struct running_request
  {
    customer_name customer;
    time_point startedAt;
  };
  struct remote_customer_use
  {
    std::uint32_t running = 0;
    time_point reportedAt;
  };
  struct remote_router
  {
    time_point lastShareAt;
    std::map<customer_name, remote_customer_use> customers;
  };
  using action_list = std::vector<admission_action>;

  void Start(const waiting_request& aRequest, time_point aNow, action_list& aActions);
  void Refuse(const waiting_request& aRequest,
              admission_verdict aVerdict,
              time_point aNow,
              action_list& aActions) const;
  void EnqueueOrRefuse(const waiting_request& aRequest, time_point aNow, action_list& aActions);
  /// Makes room in the full queue by refusing the last request of the customer with the highest
  /// demand per weight. Returns false when the new request was refused instead.
  bool DisplaceForNewRequest(const waiting_request& aNew, time_point aNow, action_list& aActions);
  void StartWaiting(time_point aNow, action_list& aActions);
  void RefuseExpired(time_point aNow, action_list& aActions);
  void Dequeue(customer_state& aCustomer, waiting_queue::iterator aPosition);
  void RecordRunTime(time_point aStartedAt, time_point aNow);
  void UpdateRemoteUse(time_point aNow);
  void UpdateLimit(time_point aNow);
  /// Returns how many requests the other routers run, reported or assumed.
  [[nodiscard]] std::int64_t UseElsewhere(std::size_t aRouters, time_point aNow) const;
  [[nodiscard]] std::uint32_t Capacity() const;
  /// Estimates the time in the queue; zero until enough requests have ended.
  [[nodiscard]] duration EstimateWait(const waiting_request& aRequest) const;
  [[nodiscard]] bool CanMeetDeadline(const admission_request& aRequest,
                                     duration aWait,
                                     time_point aNow) const;
  /// Returns the customer's running requests at all routers, divided by its weight.
  [[nodiscard]] static double UsePerWeight(const customer_state& aCustomer);
  /// Returns the same with the requests that wait at this router.
  [[nodiscard]] static double DemandPerWeight(const customer_state& aCustomer);

  router_id mSelf;
  service_name mService;
  limits_spec mLimits;
  std::size_t mUpstreams = 0;
  std::size_t mRouterCount = 1;
  customer_map mCustomers;
  std::unordered_map<request_id, running_request> mRunning;
  /// Position of each waiting request in its customer's queue.
  std::unordered_map<request_id, std::pair<customer_map::iterator, waiting_queue::iterator>>
    mWaiting;
  std::map<router_id, remote_router> mRemoteRouters;
  std::uint64_t mNextSequence = 1;
  std::size_t mLimit = 0;
  time_point mLimitUpdatedAt{ INT64_MIN };
  /// Observed load less the requests that run at this router.
  std::int64_t mObservedElsewhere = 0;
  time_point mObservedAt{ INT64_MIN };
  /// Requests that have ended.
  std::uint64_t mEndedRequests = 0;
  /// Smoothed run time of a request, in milliseconds.
  double mSmoothedRunMs = 0;
};

} // namespace persimmon::routing
