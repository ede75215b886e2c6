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

/// How long another router's shares count as its present use.
constexpr duration kShareLifetime = 3_s;
/// How long a router that fell silent is counted, unless SetRouterCount() says otherwise.
constexpr duration kRouterLifetime = 30_s;
/// How long an observed load counts.
constexpr duration kObservedLoadLifetime = 5_s;

/// Admits one service's requests at one router: as many at once as the upstreams can run, fairly
/// by the customers' weights over all routers. A customer may use what others leave idle. What
/// cannot start waits in a bounded queue; what could not start before its deadline is refused at
/// once. Pure; the caller serialises calls.
///
/// Each router may always use its part of the capacity, and of the idle rest as much as each other
/// router. A router that falls silent is assumed to use its part, unless the load that the
/// upstreams report shows that it does not, so that a mesh that stops can neither overload the
/// upstreams nor keep a lone router from using them.
class admission
{
public:
  admission(router_id aSelf, service_name aService);

  /// Sets the limits and customers of a document. Requests of customers that were removed go on.
  void SetDocument(const service_document& aDocument);
  /// Sets how many routers there are, this one included, from a source that outlives the mesh, such
  /// as the instance list; more are counted when more have sent their shares.
  void SetRouterCount(std::size_t aCount) { mRouterCount = aCount; }
  /// Sets how many requests all upstreams report to have.
  void SetObservedLoad(std::uint64_t aRequests, time_point aNow);
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
  [[nodiscard]] std::size_t Waiting() const { return mWaiting.size(); }
  /// Requests that this router may run at once.
  [[nodiscard]] std::size_t Limit() const { return mLimit; }

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
  using waiting_queue = std::set<waiting_request, goes_before>;
  struct customer_state
  {
    /// 0 for a customer that the document no longer names.
    std::int64_t weight = 0;
    std::uint32_t running = 0;
    /// Use at other routers, as last heard.
    std::uint32_t runningElsewhere = 0;
    waiting_queue queue;
  };
  using customer_map = std::map<customer_name, customer_state>;
  struct running_request
  {
    customer_name customer;
    time_point startedAt;
  };
  struct remote_use
  {
    std::uint32_t running = 0;
    time_point at;
  };
  struct remote_router
  {
    time_point heardAt;
    std::map<customer_name, remote_use> customers;
  };
  using action_list = std::vector<admission_action>;

  void Start(const waiting_request& aRequest, time_point aNow, action_list& aActions);
  void Refuse(const waiting_request& aRequest,
              admission_verdict aVerdict,
              time_point aNow,
              action_list& aActions) const;
  void Enqueue(const waiting_request& aRequest, time_point aNow, action_list& aActions);
  bool MakeRoom(const waiting_request& aFor, time_point aNow, action_list& aActions);
  void StartWaiting(time_point aNow, action_list& aActions);
  void RefuseExpired(time_point aNow, action_list& aActions);
  void Dequeue(customer_state& aCustomer, waiting_queue::iterator aPosition);
  void NoteEnd(time_point aStartedAt, time_point aNow);
  void ReviewRemotes(time_point aNow);
  void ReviewLimit(time_point aNow);
  [[nodiscard]] std::int64_t UseElsewhere(std::size_t aRouters, time_point aNow) const;
  [[nodiscard]] std::uint32_t Capacity() const;
  [[nodiscard]] duration EstimateWait(const waiting_request& aRequest) const;
  [[nodiscard]] bool CanMeetDeadline(const admission_request& aRequest,
                                     duration aWait,
                                     time_point aNow) const;
  [[nodiscard]] static double UseOf(const customer_state& aCustomer);
  [[nodiscard]] static double DemandOf(const customer_state& aCustomer);

  router_id mSelf;
  service_name mService;
  limits_spec mLimits;
  std::size_t mUpstreams = 0;
  std::size_t mRouterCount = 1;
  customer_map mCustomers;
  std::unordered_map<request_id, running_request> mRunning;
  /// Where each waiting request stands.
  std::unordered_map<request_id, std::pair<customer_map::iterator, waiting_queue::iterator>>
    mWaiting;
  std::map<router_id, remote_router> mRemotes;
  std::uint64_t mNextSerial = 1;
  std::size_t mLimit = 0;
  time_point mReviewedAt{ INT64_MIN };
  /// Observed load without this router's own requests.
  std::int64_t mObservedElsewhere = 0;
  time_point mObservedAt{ INT64_MIN };
  std::uint64_t mEnds = 0;
  /// Smoothed time that a request runs.
  double mRunMs = 0;
};

} // namespace persimmon::routing
